package org.arbutusfield.lab;

import java.util.concurrent.TimeUnit;

/** A limit on calls per second, as a token bucket that holds one second's worth. Not thread-safe. */
final class CallRate {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double perSecond;
    private double tokens;
    private long lastNanos;

    private CallRate(double perSecond, long nowNanos) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.lastNanos = nowNanos;
    }

    /** A full bucket. */
    static CallRate of(double perSecond, long nowNanos) {
        return new CallRate(perSecond, nowNanos);
    }

    /** Takes one call's token; false when none is left. */
    boolean take(long nowNanos) {
        tokens = Math.min(perSecond, tokens + perSecond * (nowNanos - lastNanos) / NANOS_PER_SECOND);
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
