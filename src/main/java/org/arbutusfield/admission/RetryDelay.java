package org.arbutusfield.admission;

import java.time.Duration;

/** How long a refused caller is told to wait: one to two times the backlog, spread by the request's id. */
final class RetryDelay {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
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
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 32;
        hash *= FNV_PRIME;
        hash ^= hash >>> 29;
        return (hash >>> (Long.SIZE - MANTISSA_BITS)) / (double) (1L << MANTISSA_BITS);
    }
}
