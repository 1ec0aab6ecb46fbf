package org.arbutusfield.admission;

import java.time.Duration;

/**
 * Computes the Retry-After of a refused request: one to two times the backlog, with jitter derived from the request's
 * id.
 */
final class RetryDelay {
    private static final int MANTISSA_BITS = 53;

    private RetryDelay() {}

    /**
     * Returns the delay for one request. The same id and backlog always give the same delay.
     *
     * @param requestId the refused request
     * @param backlogNanos time needed to serve the queued requests, in nanoseconds
     * @param minNanos shortest delay, in nanoseconds
     */
    static Duration of(String requestId, long backlogNanos, long minNanos) {
        long base = Math.max(backlogNanos, minNanos);
        return Duration.ofNanos(base + (long) (base * fraction(requestId)));
    }

    /** A number in [0, 1) that depends only on the text. */
    private static double fraction(String text) {
        return (Rendezvous.hash(text) >>> (Long.SIZE - MANTISSA_BITS)) / (double) (1L << MANTISSA_BITS);
    }
}
