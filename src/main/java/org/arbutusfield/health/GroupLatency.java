package org.arbutusfield.health;

import java.util.Collection;

/** The usual latency of a group of servers: the median of their own means, which a few slow servers cannot move. */
public final class GroupLatency {
    /** An answer this many times slower than the group's median is slow. */
    public static final int SLOW_RATIO = 3;

    /** Groups smaller than this have no meaningful median. */
    public static final int MIN_GROUP_SIZE = 3;

    private GroupLatency() {}

    /**
     * Median of the servers' mean latencies, in nanoseconds; 0 when too few servers have one.
     *
     * @param meansNanos mean latency of each server; 0 for a server without answers yet
     */
    public static long median(Collection<Long> meansNanos) {
        long[] sorted = meansNanos.stream()
                .mapToLong(Long::longValue)
                .filter(mean -> mean > 0)
                .sorted()
                .toArray();
        return sorted.length < MIN_GROUP_SIZE ? 0 : sorted[(sorted.length - 1) / 2];
    }
}
