package org.arbutusfield.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One time limit that is set and cleared for every request. Confined to its event loop.
 *
 * <p>Moving the limit later, or clearing it, leaves the scheduled task in place; the task looks at the limit when it
 * runs and waits for the rest. A connection that serves thousands of requests so keeps one task, not thousands.
 */
final class DeadlineTimer {
    private final EventLoop loop;
    private final Runnable expired;
    private Future<?> task;
    private long taskNanos;
    private long limitNanos;
    private boolean set;

    private DeadlineTimer(EventLoop loop, Runnable expired) {
        this.loop = loop;
        this.expired = expired;
    }

    /** A watch without a limit; {@code expired} runs on the loop. */
    static DeadlineTimer on(EventLoop loop, Runnable expired) {
        return new DeadlineTimer(loop, expired);
    }

    /** Expires at the monotonic time unless set again or cleared before. */
    void until(long nanos) {
        limitNanos = nanos;
        set = true;
        if (task != null && taskNanos - nanos > 0) {
            task.cancel(false);
            task = null;
        }
        if (task == null) {
            schedule();
        }
    }

    /** Expires no more until set again. */
    void clear() {
        set = false;
    }

    /** Ends the task too. */
    void close() {
        set = false;
        if (task != null) {
            task.cancel(false);
            task = null;
        }
    }

    private void schedule() {
        taskNanos = limitNanos;
        task = loop.schedule(this::check, Math.max(0, limitNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void check() {
        task = null;
        if (!set) {
            return;
        }
        if (limitNanos - System.nanoTime() > 0) {
            schedule();
            return;
        }
        set = false;
        expired.run();
    }
}
