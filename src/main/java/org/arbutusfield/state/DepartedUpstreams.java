package org.arbutusfield.state;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.arbutusfield.store.StoreRevision;

/**
 * The last entries of upstreams that have left, to recognize those that an older copy of the store's content brings
 * back.
 *
 * <p>Single-threaded; callers pass the current time.
 */
final class DepartedUpstreams {
    /** Longer than the age of any copy that a store returns from. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    private final Map<String, Departure> departures = new HashMap<>();

    private DepartedUpstreams() {}

    static DepartedUpstreams create() {
        return new DepartedUpstreams();
    }

    /** Records that the entry was removed in an era of the store. */
    void add(String key, UpstreamEntry entry, long era, long nowNanos) {
        departures.values().removeIf(departure -> departure.endNanos() - nowNanos <= 0);
        departures.put(key, new Departure(entry, era, nowNanos + RETENTION.toNanos()));
    }

    /**
     * Returns true if the entry is a copy from before the upstream left: it belongs to a later era than the removal,
     * but the upstream wrote it no later than the removed entry.
     */
    boolean isOutdated(String key, UpstreamEntry entry, long era, long nowNanos) {
        Departure departure = departures.get(key);
        if (departure == null || departure.endNanos() - nowNanos <= 0) {
            return false;
        }
        boolean writtenBefore = entry.isOlderThan(departure.entry())
                || (entry.sameStart(departure.entry())
                        && entry.sequence() == departure.entry().sequence());
        return writtenBefore && StoreRevision.isLaterEra(era, departure.era());
    }

    /**
     * The departure of an upstream.
     *
     * @param entry its last entry
     * @param era era of the store in which the entry was removed
     * @param endNanos monotonic time at which the departure is forgotten
     */
    private record Departure(UpstreamEntry entry, long era, long endNanos) {}
}
