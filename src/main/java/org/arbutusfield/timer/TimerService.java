package org.arbutusfield.timer;

import java.time.Duration;

/**
 * Monotonic time and scheduled tasks.
 *
 * <p>Contract: {@link #nowNanos()} never decreases and has no relation to the wall clock. Tasks run on the service's
 * thread, one at a time, and must not block. A cancelled task is never run again once {@link ScheduledTask#cancel()}
 * returned on the service's own thread.
 */
public interface TimerService {

    /** Monotonic nanoseconds from an arbitrary origin. */
    long nowNanos();

    /**
     * Runs a task once.
     *
     * @param delay how long to wait; zero or more
     * @param task the task to run
     */
    ScheduledTask after(Duration delay, Runnable task);

    /**
     * Runs a task periodically until it is cancelled.
     *
     * @param period time between runs; more than zero
     * @param task the task to run
     */
    ScheduledTask every(Duration period, Runnable task);

    /** A task that was scheduled. */
    @FunctionalInterface
    interface ScheduledTask {
        /** Cancels the task; idempotent. */
        void cancel();
    }
}
