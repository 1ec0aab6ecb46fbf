package org.arbutusfield.share;

import java.util.Arrays;

/**
 * How the rate of a team is divided among hosts: max-min fair when they need more than there is, with headroom when
 * they don't. Immutable.
 *
 * @param level highest rate of a share, in requests per second
 * @param idleRate least rate of a share of a host that callers use
 */
record Allocation(double level, double idleRate) {
    /** The rest stays in reserve, for hosts without a share. */
    static final double SHARED = 0.95;

    private static final double HEADROOM = 1.25;
    /** Idle shares are granted only while all needs together leave this much of the rate. */
    private static final double IDLE_LIMIT = 0.8;

    /**
     * Divides a rate.
     *
     * @param rate requests per second to divide
     * @param demands requests per second that callers ask of each host
     */
    static Allocation of(double rate, double[] demands) {
        double[] needs =
                Arrays.stream(demands).map(demand -> demand * HEADROOM).sorted().toArray();
        double needed = Arrays.stream(needs).sum();
        double shared = rate * SHARED;
        if (needed <= shared) {
            boolean room = needed + needs.length * ShareSizes.IDLE_RATE <= rate * IDLE_LIMIT;
            return new Allocation(shared, room ? ShareSizes.IDLE_RATE : 0);
        }
        double left = shared;
        for (int i = 0; i < needs.length; i++) {
            double even = left / (needs.length - i);
            if (needs[i] > even) {
                return new Allocation(even, 0);
            }
            left -= needs[i];
        }
        return new Allocation(shared, 0);
    }

    /** Returns the least rate of a share; a host that needs less uses the reserve. */
    double minRate() {
        return idleRate > 0 ? ShareSizes.MIN_RATE : ShareSizes.MIN_BUSY_RATE;
    }

    /** Returns the rate of the share of a host. */
    double rate(double demand) {
        return Math.min(level, Math.max(demand * HEADROOM, idleRate));
    }
}
