package org.arbutusfield.timer;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service whose time moves only when told to, for tests and experiments.
 *
 * <p>Single-threaded. Calls due at the same instant run in the order in which they were subscribed.
 */
public final class VirtualTimer implements TimerService {
    private final PriorityQueue<Call> calls =
            new PriorityQueue<>(Comparator.comparingLong((Call c) -> c.dueNanos).thenComparingLong(c -> c.sequence));
    private long nowNanos;
    private long nextSequence;

    private VirtualTimer() {}

    /** A timer at time zero with no subscribers. */
    public static VirtualTimer create() {
        return new VirtualTimer();
    }

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable subscriber) {
        Call call = new Call(nowNanos + delay.toNanos(), nextSequence++, subscriber);
        calls.add(call);
        return () -> call.cancelled = true;
    }

    @Override
    public ScheduledTask every(Duration period, Runnable subscriber) {
        Repeating repeating = new Repeating(period, subscriber);
        repeating.schedule();
        return () -> repeating.cancelled = true;
    }

    /** Moves time forward, making every call that falls due on the way, in order. */
    public void advance(Duration by) {
        long end = nowNanos + by.toNanos();
        while (!calls.isEmpty() && calls.peek().dueNanos <= end) {
            runNext();
        }
        nowNanos = end;
    }

    /**
     * Moves time to the next call and makes it.
     *
     * @return false when no call is waiting
     */
    public boolean step() {
        if (calls.isEmpty()) {
            return false;
        }
        runNext();
        return true;
    }

    private void runNext() {
        Call call = calls.remove();
        nowNanos = call.dueNanos;
        if (!call.cancelled) {
            call.subscriber.run();
        }
    }

    private static final class Call {
        private final long dueNanos;
        private final long sequence;
        private final Runnable subscriber;
        private boolean cancelled;

        private Call(long dueNanos, long sequence, Runnable subscriber) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.subscriber = subscriber;
        }
    }

    private final class Repeating {
        private final Duration period;
        private final Runnable subscriber;
        private boolean cancelled;

        private Repeating(Duration period, Runnable subscriber) {
            this.period = period;
            this.subscriber = subscriber;
        }

        private void schedule() {
            after(period, () -> {
                if (cancelled) {
                    return;
                }
                subscriber.run();
                schedule();
            });
        }
    }
}
