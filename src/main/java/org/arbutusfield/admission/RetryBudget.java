package org.arbutusfield.admission;

import org.arbutusfield.error.Failure;

/**
 * Limits the retries that one host makes for one service, so that failures cannot multiply load.
 *
 * <p>Each first attempt adds a fraction of a retry, up to a small store that also is the start. So over n requests at
 * most {@code PER_REQUEST * n + BURST} retries are made.
 *
 * <p>Not thread-safe; its owner calls it under one lock.
 */
public final class RetryBudget {
    private static final double PER_REQUEST = 0.08;
    private static final double BURST = 10;

    private double retries = BURST;

    private RetryBudget() {}

    /** A full budget. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /**
     * Whether a failed attempt may be made again at all: never when it may have run and may not run twice.
     *
     * @param failure how the attempt ended
     * @param repeatable whether running the request twice is harmless
     */
    public static boolean safeToRetry(Failure failure, boolean repeatable) {
        return repeatable || failure.notRun();
    }

    /** Notes the first attempt of a request. */
    public void recordFirstAttempt() {
        retries = Math.min(BURST, retries + PER_REQUEST);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param failure how the earlier attempt ended
     * @param repeatable whether running the request twice is harmless
     * @return false when the attempt must not be made again
     */
    public boolean tryAcquire(Failure failure, boolean repeatable) {
        return safeToRetry(failure, repeatable) && tryAcquire();
    }

    /** Takes one retry from the budget for an attempt that is known to be harmless; false if none is left. */
    public boolean tryAcquire() {
        if (retries < 1) {
            return false;
        }
        retries--;
        return true;
    }
}
