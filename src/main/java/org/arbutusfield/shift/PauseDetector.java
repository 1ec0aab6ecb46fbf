package org.arbutusfield.shift;

import java.time.Duration;

/**
 * Notices that the process stood still, and closes until its configuration is confirmed again.
 *
 * <p>A process that was paused may wake with an old configuration and act on it before the newer one arrives. The timer
 * ticks while the process runs, so that a gap between ticks, or since the last tick, is a pause. Thread-safe.
 */
public final class PauseDetector {
    /** A gap between ticks that counts as a pause. */
    public static final Duration LIMIT = Duration.ofSeconds(1);

    private long lastTickNanos;
    private boolean confirmed;

    private PauseDetector(long nowNanos) {
        this.lastTickNanos = nowNanos;
    }

    /** A guard that is closed until the first confirmation. */
    public static PauseDetector start(long nowNanos) {
        return new PauseDetector(nowNanos);
    }

    /** Tells that the process runs. */
    public synchronized void tick(long nowNanos) {
        if (gap(nowNanos)) {
            confirmed = false;
        }
        lastTickNanos = nowNanos;
    }

    /** Tells that the configuration in force was confirmed as current after the process last woke. */
    public synchronized void confirm(long nowNanos) {
        confirmed = true;
        lastTickNanos = nowNanos;
    }

    /** True when the process has not stood still since its configuration was last confirmed. */
    public synchronized boolean runningSinceConfirmation(long nowNanos) {
        return confirmed && !gap(nowNanos);
    }

    private boolean gap(long nowNanos) {
        return nowNanos - lastTickNanos > LIMIT.toNanos();
    }
}
