package org.arbutusfield.admission;

import java.time.Duration;

/** How long a refused caller is told to wait: one to two times the backlog, spread by the request's id. */
final class RetryDelay {
    private static final int MANTISSA_BITS = 53;

    private RetryDelay() {}

    /**
     * The delay for one request; the same for each repeat of it.
     *
     * @param requestId the refused request
     * @param backlogNanos time that the waiting work takes, in nanoseconds
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
