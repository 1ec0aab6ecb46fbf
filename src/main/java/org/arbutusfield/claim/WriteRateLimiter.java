package org.arbutusfield.claim;

import java.time.Duration;
import org.arbutusfield.timer.TimerService;

/** This host's share of the store's write rate, as a token bucket that holds the tokens of one second. Thread-safe. */
final class WriteRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimerService timer;
    private final double perSecond;
    private double tokens;
    private long lastNanos;

    private WriteRateLimiter(TimerService timer, double perSecond) {
        this.timer = timer;
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.lastNanos = timer.nowNanos();
    }

    /** Returns a limiter with a full bucket. */
    static WriteRateLimiter of(TimerService timer, double perSecond) {
        return new WriteRateLimiter(timer, perSecond);
    }

    /** Reserves one write even if no token is left; returns how long to wait before the write may be sent. */
    synchronized Duration reserve() {
        long now = timer.nowNanos();
        tokens = Math.min(perSecond, tokens + perSecond * (now - lastNanos) / NANOS_PER_SECOND);
        lastNanos = now;
        tokens--;
        return tokens >= 0 ? Duration.ZERO : Duration.ofNanos((long) (-tokens / perSecond * NANOS_PER_SECOND));
    }
}
