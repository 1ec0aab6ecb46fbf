package org.arbutusfield.health;

import java.util.Collection;

/**
 * The typical latency of a group of upstreams: the median of their mean latencies, which a few slow upstreams hardly
 * affect.
 */
public final class GroupLatency {
    /** A response slower than this multiple of the group's median counts as slow. */
    public static final int SLOW_RATIO = 3;

    /** Minimum number of upstreams for a meaningful median. */
    public static final int MIN_GROUP_SIZE = 3;

    private GroupLatency() {}

    /**
     * Median of the upstreams' mean latencies, in nanoseconds; 0 if too few upstreams have one.
     *
     * @param meansNanos mean latency of each upstream; 0 for an upstream without responses yet
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
