package org.arbutusfield.state;

import java.time.Duration;
import org.arbutusfield.timer.TimerService;

/**
 * The steps of something that must go on for ever, of which one is current: a call that waits for its answer, or a
 * delay before the next step. What belongs to an earlier step is void.
 *
 * <p>Each step has a time by which the next one must have begun; see {@link #overdue}. It is asked for periodically, by
 * a task that no step cancels, so a step that was lost is found whatever has become of it.
 *
 * <p>Runs on the timer's thread.
 */
final class StepSchedule {
    private final TimerService timer;
    private final Duration limit;
    private TimerService.ScheduledTask next = () -> {};
    private long steps;
    private long overdueAtNanos;

    private StepSchedule(TimerService timer, Duration limit) {
        this.timer = timer;
        this.limit = limit;
        this.overdueAtNanos = timer.nowNanos() + limit.toNanos();
    }

    /**
     * Creates a schedule without a step.
     *
     * @param timer runs delayed steps
     * @param limit maximum time from the begin of a step to that of the next one
     */
    static StepSchedule create(TimerService timer, Duration limit) {
        return new StepSchedule(timer, limit);
    }

    /** Begins a step, in place of one that is scheduled or current, and returns its number. */
    long begin() {
        next.cancel();
        overdueAtNanos = timer.nowNanos() + limit.toNanos();
        return ++steps;
    }

    /** True if no other step has begun, or been scheduled, since this one began. */
    boolean isCurrent(long step) {
        return step == steps;
    }

    /** Schedules a step, in place of one that is scheduled or current. */
    void after(Duration delay, Runnable step) {
        begin();
        overdueAtNanos += delay.toNanos();
        next = timer.after(delay, step);
    }

    /** True if the next step should have begun. */
    boolean overdue() {
        return timer.nowNanos() - overdueAtNanos > 0;
    }
}
