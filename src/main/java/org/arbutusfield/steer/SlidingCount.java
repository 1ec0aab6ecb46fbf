package org.arbutusfield.steer;

import java.time.Duration;

/** Counts events of a sliding time window in steps of a twentieth of it. Time is given by the caller. */
final class SlidingCount {
    private static final int STEPS = 20;

    private final long stepNanos;
    private final long[] stepNumbers = new long[STEPS + 1];
    private final int[] counts = new int[STEPS + 1];

    private SlidingCount(long stepNanos) {
        this.stepNanos = stepNanos;
    }

    /** Counts over a window of this length. */
    static SlidingCount over(Duration window) {
        return new SlidingCount(Math.max(1, window.toNanos() / STEPS));
    }

    /** Counts one event now. */
    void add(long nowNanos) {
        long step = Math.floorDiv(nowNanos, stepNanos);
        int at = (int) Math.floorMod(step, (long) counts.length);
        if (stepNumbers[at] != step) {
            stepNumbers[at] = step;
            counts[at] = 0;
        }
        counts[at]++;
    }

    /** Events of the window that ends now. */
    int total(long nowNanos) {
        long step = Math.floorDiv(nowNanos, stepNanos);
        int total = 0;
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0 && stepNumbers[i] <= step && step - stepNumbers[i] <= STEPS) {
                total += counts[i];
            }
        }
        return total;
    }
}
