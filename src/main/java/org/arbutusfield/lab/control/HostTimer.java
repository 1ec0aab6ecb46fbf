package org.arbutusfield.lab.control;

import java.time.Duration;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.timer.VirtualTimer;

/**
 * Timer service of one host in virtual time. Calls that come due while the host is paused run when the pause ends;
 * calls of a killed host never run.
 */
public final class HostTimer implements TimerService {
    private final VirtualTimer base;
    private long pausedUntilNanos;
    private boolean dead;

    private HostTimer(VirtualTimer base) {
        this.base = base;
        this.pausedUntilNanos = base.nowNanos();
    }

    /** Creates the timer of a running host. */
    public static HostTimer create(VirtualTimer base) {
        return new HostTimer(base);
    }

    /** Pauses the host: delays all its calls until the given time has passed. */
    public void pause(Duration length) {
        pausedUntilNanos = base.nowNanos() + length.toNanos();
    }

    /** Kills the host: no call runs from now on. */
    public void kill() {
        dead = true;
    }

    /** Returns whether the host has not been killed. */
    public boolean alive() {
        return !dead;
    }

    @Override
    public long nowNanos() {
        return base.nowNanos();
    }

    @Override
    public ScheduledTask after(Duration delay, Runnable subscriber) {
        return base.after(delay, () -> run(subscriber));
    }

    @Override
    public ScheduledTask every(Duration period, Runnable subscriber) {
        boolean[] cancelled = new boolean[1];
        scheduleNext(period, subscriber, cancelled);
        return () -> cancelled[0] = true;
    }

    /** Runs a call on the host: now, after its pause, or never if it was killed. */
    public void run(Runnable call) {
        if (dead) {
            return;
        }
        long remainingNanos = pausedUntilNanos - base.nowNanos();
        if (remainingNanos > 0) {
            base.after(Duration.ofNanos(remainingNanos), () -> run(call));
            return;
        }
        call.run();
    }

    private void scheduleNext(Duration period, Runnable subscriber, boolean[] cancelled) {
        after(period, () -> {
            if (cancelled[0]) {
                return;
            }
            subscriber.run();
            scheduleNext(period, subscriber, cancelled);
        });
    }
}
