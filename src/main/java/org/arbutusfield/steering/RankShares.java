package org.arbutusfield.steering;

import java.time.Duration;
import java.util.TreeMap;

/**
 * The rank rule of one service: how long a request of a rank may wait, so that more urgent ones meet their targets, and
 * that none is starved.
 *
 * <p>Idea: queues at upstreams are first come, first served, so an urgent request waits behind all that were let in
 * before it. A less urgent request is let in only while the queue is shorter than what each more urgent rank can wait
 * and still meet its target. Urgent requests alone may fill the queue up to their deadline. A rank whose requests were
 * let in less than {@code FLOOR} times as often as all requests is excepted from this until they are.
 *
 * <p>Counts are halved each {@code HALF_LIFE}. Callers pass the current time. Not thread-safe.
 */
final class RankShares {
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos();
    /** Least part of a rank's requests that are let in, relative to those of all ranks. */
    private static final double FLOOR = 0.35;
    /**
     * Part of what the next more urgent rank may wait; applied once for each more urgent rank. Below 1, so that each
     * less urgent rank waits less than the one before it.
     */
    private static final double YIELD = 0.7;
    /** Requests in memory below which a rank is no longer regarded as present. */
    private static final double PRESENT = 0.3;

    private final TreeMap<Integer, Count> counts = new TreeMap<>();
    private final Count all = new Count();

    private RankShares() {}

    static RankShares create() {
        return new RankShares();
    }

    /**
     * Records that a request asks for a place.
     *
     * @param rank its rank, 0 is the most urgent
     * @param slack seconds that it could wait at home and meet its target
     * @param nowNanos current monotonic time
     */
    void asked(int rank, double slack, long nowNanos) {
        Count count = counts.computeIfAbsent(rank, key -> new Count());
        count.decay(nowNanos);
        all.decay(nowNanos);
        count.slack = count.asked < PRESENT ? slack : count.slack + 0.1 * (slack - count.slack);
        count.asked++;
        all.asked++;
    }

    /** Records that a request that asked was let in. */
    void admitted(int rank) {
        counts.get(rank).admitted++;
        all.admitted++;
    }

    /** Returns the longest wait in seconds that the rank permits, from what more urgent ranks can bear. */
    double permittedWait(int rank, long nowNanos) {
        // A rank is unknown while only repeats of its requests have been placed with known work.
        Count own = counts.computeIfAbsent(rank, key -> new Count());
        if (own.admitted * all.asked < FLOOR * all.admitted * own.asked) {
            return Double.MAX_VALUE;
        }
        double permitted = Double.MAX_VALUE;
        for (Count urgent : counts.headMap(rank).values()) {
            urgent.decay(nowNanos);
            if (urgent.asked >= PRESENT) {
                permitted = YIELD * Math.min(permitted, urgent.slack);
            }
        }
        return permitted;
    }

    private static final class Count {
        private double asked;
        private double admitted;
        private double slack;
        private long nanos;

        private void decay(long nowNanos) {
            double factor = Math.pow(0.5, (nowNanos - nanos) / HALF_LIFE_NANOS);
            asked *= factor;
            admitted *= factor;
            nanos = nowNanos;
        }
    }
}
