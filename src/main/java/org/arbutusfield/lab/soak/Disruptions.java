package org.arbutusfield.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records when each part of the system was disrupted, so that time limits are checked only where they hold.
 * Thread-safe.
 */
final class Disruptions {
    /** The store or all links to it. */
    static final String STORE = "store";
    /** Any upstream or its link. */
    static final String UPSTREAMS = "upstreams";

    private static final long ONGOING = Long.MAX_VALUE;

    private final Map<String, List<Interval>> intervals = new ConcurrentHashMap<>();

    private Disruptions() {}

    /** No disruptions yet. */
    static Disruptions none() {
        return new Disruptions();
    }

    /** Time span of a disruption, in monotonic nanoseconds. */
    private static final class Interval {
        private final long from;
        private volatile long to = ONGOING;

        private Interval(long from) {
            this.from = from;
        }
    }

    /** Records the start of a disruption; the returned action records its end. */
    Runnable begin(String part) {
        Interval interval = new Interval(System.nanoTime());
        List<Interval> list = intervals.computeIfAbsent(part, p -> new ArrayList<>());
        synchronized (list) {
            list.add(interval);
        }
        return () -> interval.to = System.nanoTime();
    }

    /** True if the part was not disrupted from {@code settlingTime} before the first time until the second. */
    boolean undisturbed(String part, Duration settlingTime, long fromNanos, long toNanos) {
        List<Interval> list = intervals.getOrDefault(part, List.of());
        long from = fromNanos - settlingTime.toNanos();
        synchronized (list) {
            return list.stream()
                    .noneMatch(interval -> interval.from < toNanos && (interval.to == ONGOING || interval.to > from));
        }
    }
}
