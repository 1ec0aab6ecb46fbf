package org.arbutusfield.timer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A timer service on an event loop, so that timed calls and connections share one thread. */
public final class LoopTimer implements TimerService {
    private static final Logger LOG = LogManager.getLogger(LoopTimer.class);

    private final EventLoop loop;

    private LoopTimer(EventLoop loop) {
        this.loop = loop;
    }

    /** A timer service whose subscribers run on the loop. */
    public static LoopTimer on(EventLoop loop) {
        return new LoopTimer(loop);
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public Subscription after(Duration delay, Runnable subscriber) {
        Future<?> task = loop.schedule(guarded(subscriber), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> task.cancel(false);
    }

    @Override
    public Subscription every(Duration period, Runnable subscriber) {
        Future<?> task = loop.scheduleWithFixedDelay(
                guarded(subscriber), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
        return () -> task.cancel(false);
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
