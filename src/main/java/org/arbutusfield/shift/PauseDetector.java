package org.arbutusfield.shift;

import java.time.Duration;

/**
 * Detects that the process was paused, and reports this until its configuration is confirmed again.
 *
 * <p>A paused process may resume with an old configuration and act on it before the newer one arrives. The timer calls
 * {@link #tick} while the process runs, so a gap between ticks, or since the last tick, indicates a pause. Thread-safe.
 */
public final class PauseDetector {
    /** Longest gap between ticks that does not count as a pause. */
    public static final Duration LIMIT = Duration.ofSeconds(1);

    private long lastTickNanos;
    private boolean confirmed;

    private PauseDetector(long nowNanos) {
        this.lastTickNanos = nowNanos;
    }

    /** Creates a detector that awaits the first confirmation. */
    public static PauseDetector start(long nowNanos) {
        return new PauseDetector(nowNanos);
    }

    /** Records that the process is running. */
    public synchronized void tick(long nowNanos) {
        if (pausedAt(nowNanos)) {
            confirmed = false;
        }
        lastTickNanos = nowNanos;
    }

    /** Records that the configuration in force was confirmed as current after the process last resumed. */
    public synchronized void confirm(long nowNanos) {
        confirmed = true;
        lastTickNanos = nowNanos;
    }

    /** True if the process has not been paused since its configuration was last confirmed. */
    public synchronized boolean runningSinceConfirmation(long nowNanos) {
        return confirmed && !pausedAt(nowNanos);
    }

    private boolean pausedAt(long nowNanos) {
        return nowNanos - lastTickNanos > LIMIT.toNanos();
    }
}
