package org.arbutusfield.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A timer that is set and cleared for every request of a connection. Confined to its event loop.
 *
 * <p>Clearing the timer or moving it to a later time leaves the scheduled task in place; when the task runs, it checks
 * the current deadline and reschedules itself if that has not passed. A connection that serves thousands of requests
 * therefore needs one task instead of thousands.
 */
final class DeadlineTimer {
    private final EventLoop loop;
    private final Runnable expired;
    private Future<?> task;
    private long taskNanos;
    private long deadlineNanos;
    private boolean armed;

    private DeadlineTimer(EventLoop loop, Runnable expired) {
        this.loop = loop;
        this.expired = expired;
    }

    /** Creates a timer without a deadline; {@code expired} runs on the loop. */
    static DeadlineTimer create(EventLoop loop, Runnable expired) {
        return new DeadlineTimer(loop, expired);
    }

    /** Sets the timer to expire at the monotonic time, unless it is set again or cleared first. */
    void set(long nanos) {
        deadlineNanos = nanos;
        armed = true;
        if (task != null && taskNanos - nanos > 0) {
            task.cancel(false);
            task = null;
        }
        if (task == null) {
            schedule();
        }
    }

    /** Moves the timer to an earlier time, if it is set to a later one. */
    void bringForward(long nanos) {
        if (armed && deadlineNanos - nanos > 0) {
            set(nanos);
        }
    }

    /** Disables the timer until it is set again. */
    void clear() {
        armed = false;
    }

    /** Disables the timer and cancels its scheduled task. */
    void close() {
        armed = false;
        if (task != null) {
            task.cancel(false);
            task = null;
        }
    }

    private void schedule() {
        taskNanos = deadlineNanos;
        task = loop.schedule(this::check, Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void check() {
        task = null;
        if (!armed) {
            return;
        }
        if (deadlineNanos - System.nanoTime() > 0) {
            schedule();
            return;
        }
        armed = false;
        expired.run();
    }
}
