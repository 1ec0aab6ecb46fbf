package org.arbutusfield.lab;

import java.util.concurrent.TimeUnit;

/** A token bucket that limits calls per second. Its capacity is the tokens of one second. Not thread-safe. */
final class TokenBucket {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double ratePerSecond;
    private double tokens;
    private long lastNanos;

    private TokenBucket(double ratePerSecond, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.tokens = ratePerSecond;
        this.lastNanos = nowNanos;
    }

    /** Returns a full bucket. */
    static TokenBucket of(double ratePerSecond, long nowNanos) {
        return new TokenBucket(ratePerSecond, nowNanos);
    }

    /** Takes a token; false if none is left. */
    boolean tryAcquire(long nowNanos) {
        tokens = Math.min(ratePerSecond, tokens + ratePerSecond * (nowNanos - lastNanos) / NANOS_PER_SECOND);
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
