package org.arbutusfield.timer;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.ErrorLog;

/**
 * Timer service on the system's monotonic clock. Tasks run on a daemon thread of the timer, or on a given
 * single-threaded executor, such as an event loop, so that tasks and connections share the thread.
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

    /**
     * A timer service that runs tasks on the executor, which must have a single thread. Closing the timer service shuts
     * the executor down.
     */
    public static SystemTimer on(ScheduledExecutorService executor) {
        return new SystemTimer(executor);
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable task) {
        ScheduledFuture<?> future = executor.schedule(loggingErrors(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public ScheduledTask every(Duration period, Runnable task) {
        ScheduledFuture<?> future = executor.scheduleWithFixedDelay(
                loggingErrors(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable loggingErrors(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // A periodic task that ends with an error isn't run again.
                ErrorLog.write(LOG, "timer_subscriber_failed", e);
            }
        };
    }
}
