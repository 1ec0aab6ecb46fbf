package org.arbutusfield.timer;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service whose time advances only by explicit calls, for tests and experiments.
 *
 * <p>Single-threaded. Tasks due at the same instant run in the order in which they were scheduled.
 */
public final class VirtualTimer implements TimerService {
    private final PriorityQueue<Task> queue = new PriorityQueue<>(
            Comparator.comparingLong((Task task) -> task.dueNanos).thenComparingLong(task -> task.sequence));
    private long nowNanos;
    private long nextSequence;

    private VirtualTimer() {}

    /** A timer at time zero without tasks. */
    public static VirtualTimer create() {
        return new VirtualTimer();
    }

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable action) {
        Task task = new Task(nowNanos + delay.toNanos(), nextSequence++, action);
        queue.add(task);
        return () -> task.cancelled = true;
    }

    @Override
    public ScheduledTask every(Duration period, Runnable action) {
        RepeatingTask repeatingTask = new RepeatingTask(period, action);
        repeatingTask.schedule();
        return () -> repeatingTask.cancelled = true;
    }

    /** Advances time and runs every task that becomes due, in order. */
    public void advance(Duration by) {
        long end = nowNanos + by.toNanos();
        while (!queue.isEmpty() && queue.peek().dueNanos <= end) {
            runNext();
        }
        nowNanos = end;
    }

    /**
     * Advances time to the next task and runs it.
     *
     * @return false when no task is scheduled
     */
    public boolean step() {
        if (queue.isEmpty()) {
            return false;
        }
        runNext();
        return true;
    }

    private void runNext() {
        Task task = queue.remove();
        nowNanos = task.dueNanos;
        if (!task.cancelled) {
            task.action.run();
        }
    }

    private static final class Task {
        private final long dueNanos;
        private final long sequence;
        private final Runnable action;
        private boolean cancelled;

        private Task(long dueNanos, long sequence, Runnable action) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.action = action;
        }
    }

    private final class RepeatingTask {
        private final Duration period;
        private final Runnable action;
        private boolean cancelled;

        private RepeatingTask(Duration period, Runnable action) {
            this.period = period;
            this.action = action;
        }

        private void schedule() {
            after(period, () -> {
                if (cancelled) {
                    return;
                }
                action.run();
                schedule();
            });
        }
    }
}
