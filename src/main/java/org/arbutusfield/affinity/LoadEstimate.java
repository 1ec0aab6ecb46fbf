package org.arbutusfield.affinity;

/**
 * Estimates of one object's load from the reports of each period: a fast one that follows overload, and a slow one with
 * its uncertainty, which decides about the even distribution of objects.
 *
 * <p>Not thread-safe.
 */
final class LoadEstimate {
    /** Load of an object before the first report on it, in busy slots. */
    static final double INITIAL_LOAD = 0.3;
    /** Weight of the latest period in the fast estimate. */
    private static final double FAST_WEIGHT = 0.4;
    /**
     * Number of periods that the slow estimate averages over. A demand wave of +-55 % with a period of 36 s changes it
     * by 7 %.
     */
    private static final int SLOW_PERIODS = 48;

    private double fast = INITIAL_LOAD;
    private double slow = INITIAL_LOAD;
    private double variance;
    private int periods;

    /** Adds the load of a period, in busy slots. */
    void add(double sample) {
        fast += FAST_WEIGHT * (sample - fast);
        periods = Math.min(periods + 1, SLOW_PERIODS);
        double difference = sample - slow;
        slow += difference / periods;
        // The first sample replaces the assumed load, so its difference says nothing about the noise.
        if (periods > 1) {
            variance += (difference * (sample - slow) - variance) / (periods - 1);
        }
    }

    /** Load in the latest periods, in busy slots. */
    double fast() {
        return fast;
    }

    /** Average load, in busy slots. */
    double slow() {
        return slow;
    }

    /** Square of the standard error of the average. */
    double squaredError() {
        return variance / Math.max(1, periods);
    }
}
