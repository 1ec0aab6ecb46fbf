package org.arbutusfield.timer;

import java.time.Duration;

/**
 * Monotonic time and timed calls.
 *
 * <p>Contract: {@link #nowNanos()} never decreases and has no relation to the wall clock. Subscribers run on the
 * service's thread, one at a time, and must not block. A cancelled subscription is never called again once
 * {@link ScheduledTask#cancel()} returned on the service's own thread.
 */
public interface TimerService {

    /** Monotonic nanoseconds from an arbitrary origin. */
    long nowNanos();

    /**
     * Calls the subscriber once.
     *
     * @param delay how long to wait; zero or more
     * @param subscriber what to call
     */
    ScheduledTask after(Duration delay, Runnable subscriber);

    /**
     * Calls the subscriber again and again until cancelled.
     *
     * @param period time between calls; more than zero
     * @param subscriber what to call
     */
    ScheduledTask every(Duration period, Runnable subscriber);

    /** A running subscription. */
    @FunctionalInterface
    interface ScheduledTask {
        /** Ends the subscription; idempotent. */
        void cancel();
    }
}
