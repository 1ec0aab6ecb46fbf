package org.arbutusfield.admission;

import org.arbutusfield.error.Failure;

/**
 * Limits the retries that one host makes for one service, so that failures cannot multiply the load.
 *
 * <p>A token bucket of {@code BURST} retries that starts full; each first attempt adds {@code RETRIES_PER_REQUEST} of a
 * retry. At most {@code RETRIES_PER_REQUEST * n + BURST} retries are made over n requests.
 *
 * <p>Not thread-safe; the owner calls it under one lock.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.08;
    private static final double BURST = 10;

    private double availableRetries = BURST;

    private RetryBudget() {}

    /** Returns a full budget. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /**
     * Whether a failed attempt may be retried at all: not if it may have run and must not run twice.
     *
     * @param failure how the attempt ended
     * @param repeatable whether the request may safely run twice
     */
    public static boolean safeToRetry(Failure failure, boolean repeatable) {
        return repeatable || failure.notRun();
    }

    /** Records the first attempt of a request. */
    public void recordFirstAttempt() {
        availableRetries = Math.min(BURST, availableRetries + RETRIES_PER_REQUEST);
    }

    /**
     * Takes one retry from the budget if the attempt may be retried.
     *
     * @param failure how the earlier attempt ended
     * @param repeatable whether the request may safely run twice
     * @return false if the attempt must not be retried
     */
    public boolean tryAcquire(Failure failure, boolean repeatable) {
        return safeToRetry(failure, repeatable) && tryAcquire();
    }

    /**
     * Takes one retry from the budget for an attempt that is known to be safe to retry; returns false if none is left.
     */
    public boolean tryAcquire() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries--;
        return true;
    }
}
