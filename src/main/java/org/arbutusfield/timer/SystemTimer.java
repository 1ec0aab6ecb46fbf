package org.arbutusfield.timer;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The timer service of a running process on the system's monotonic clock: on a daemon thread of its own, or on an
 * executor with one thread, such as an event loop, so that timed calls and connections share it.
 */
public final class SystemTimer implements TimerService, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(SystemTimer.class);

    private final ScheduledExecutorService executor;

    private SystemTimer(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    /** Starts a timer service with a thread of its own. */
    public static SystemTimer start() {
        return new SystemTimer(Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "timer");
            thread.setDaemon(true);
            return thread;
        }));
    }

    /** A timer service whose subscribers run on the executor, which has one thread; closing it ends the executor. */
    public static SystemTimer on(ScheduledExecutorService executor) {
        return new SystemTimer(executor);
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable subscriber) {
        ScheduledFuture<?> task = executor.schedule(guarded(subscriber), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> task.cancel(false);
    }

    @Override
    public ScheduledTask every(Duration period, Runnable subscriber) {
        ScheduledFuture<?> task = executor.scheduleWithFixedDelay(
                guarded(subscriber), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
        return () -> task.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable guarded(Runnable subscriber) {
        return () -> {
            try {
                subscriber.run();
            } catch (RuntimeException e) {
                LOG.error("event=timer_subscriber_failed", e);
            }
        };
    }
}
