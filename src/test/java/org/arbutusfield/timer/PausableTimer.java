package org.arbutusfield.timer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The timer of a simulated process. While the process is paused, its time goes on and its tasks wait until it resumes;
 * once it has been killed, none of them runs any more.
 */
public final class PausableTimer implements TimerService {
    private final TimerService timer;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean paused;
    private boolean killed;

    private PausableTimer(TimerService timer) {
        this.timer = timer;
    }

    /** Creates the timer of a running process. */
    public static PausableTimer of(TimerService timer) {
        return new PausableTimer(timer);
    }

    /** Stops the process until {@link #resume()}. */
    public void pause() {
        paused = true;
    }

    /** Resumes the process; it runs at once what became due meanwhile. */
    public void resume() {
        paused = false;
        List<Runnable> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(this::run);
    }

    /** Ends the process. */
    public void kill() {
        killed = true;
        waiting.clear();
    }

    /** Returns true unless the process is paused or was killed. */
    public boolean running() {
        return !paused && !killed;
    }

    /** Runs a task in the process, now or when it resumes. */
    public void run(Runnable task) {
        if (killed) {
            return;
        }
        if (paused) {
            waiting.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public long nowNanos() {
        return timer.nowNanos();
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable task) {
        return timer.after(delay, () -> run(task));
    }

    @Override
    public ScheduledTask every(Duration period, Runnable task) {
        return timer.every(period, () -> {
            if (!waiting.contains(task)) {
                run(task);
            }
        });
    }
}
