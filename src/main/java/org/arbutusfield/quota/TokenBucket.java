package org.arbutusfield.quota;

import java.util.OptionalLong;

/**
 * Counts the requests that may be sent to one upstream. Tokens accrue at the upstream's rate up to a small number, and
 * each request takes one. In any time {@code t} at most {@code CAPACITY + t * rate} tokens are taken, with the integral
 * of the rate in place of the product where it changes.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
    /** Tokens that accrue while no request comes. More would use more of the rate, but reach the upstream at once. */
    static final double CAPACITY = 2;

    private static final double NANOS_PER_SECOND = 1e9;
    /** Sums of many small parts miss a whole token by less than this. */
    private static final double ROUNDING = 1e-6;

    private double tokens;
    private long updatedNanos;
    private double lastPerSecond;

    private TokenBucket(long startNanos) {
        this.updatedNanos = startNanos;
    }

    /** Creates a bucket that was empty at a time. */
    static TokenBucket emptyAt(long startNanos) {
        return new TokenBucket(startNanos);
    }

    /**
     * Takes a token. Since the rate may have changed at any time since the last call, tokens have accrued at the lower
     * one of this rate and the last.
     *
     * @param perSecond rate of the upstream now; more than zero
     * @param nowNanos current monotonic time
     * @return empty if a token was taken, else the time until there is one, in nanoseconds
     */
    OptionalLong tryTake(double perSecond, long nowNanos) {
        double accrualPerSecond = lastPerSecond > 0 ? Math.min(lastPerSecond, perSecond) : perSecond;
        tokens = Math.min(CAPACITY, tokens + (nowNanos - updatedNanos) * accrualPerSecond / NANOS_PER_SECOND);
        updatedNanos = nowNanos;
        lastPerSecond = perSecond;
        if (tokens < 1 - ROUNDING) {
            return OptionalLong.of((long) Math.ceil((1 - tokens) * NANOS_PER_SECOND / perSecond));
        }
        tokens--;
        return OptionalLong.empty();
    }

    /** Rate of the last call; 0 if there was none. */
    double lastPerSecond() {
        return lastPerSecond;
    }

    /** Monotonic time of the last call. */
    long updatedNanos() {
        return updatedNanos;
    }
}
