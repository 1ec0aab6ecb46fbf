package org.arbutusfield.timer;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs when the thread of a timer service has stood still, for example because the process was paused. What the process
 * does next may rest on what it knew before.
 */
public final class PauseMonitor {
    private static final Logger LOG = LogManager.getLogger(PauseMonitor.class);
    private static final Duration PERIOD = Duration.ofMillis(100);
    /** Shorter ones are usual on a busy machine. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(400);

    private final TimerService timer;
    private long lastRunNanos;

    private PauseMonitor(TimerService timer) {
        this.timer = timer;
        this.lastRunNanos = timer.nowNanos();
    }

    /** Starts to monitor the timer's thread. */
    public static PauseMonitor start(TimerService timer) {
        PauseMonitor monitor = new PauseMonitor(timer);
        timer.every(PERIOD, monitor::check);
        return monitor;
    }

    private void check() {
        long now = timer.nowNanos();
        Duration pause = Duration.ofNanos(now - lastRunNanos).minus(PERIOD);
        lastRunNanos = now;
        if (pause.compareTo(MIN_PAUSE) >= 0) {
            LOG.warn("event=host_paused for_ms={}", pause.toMillis());
        }
    }
}
