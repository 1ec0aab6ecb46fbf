package org.arbutusfield.lab.control;

import java.time.Duration;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.timer.VirtualTimer;

/**
 * The timer service of one host in virtual time; while the host is paused its calls wait, once it is dead they drop.
 */
public final class HostTimer implements TimerService {
    private final VirtualTimer base;
    private long pausedUntilNanos;
    private boolean dead;

    private HostTimer(VirtualTimer base) {
        this.base = base;
        this.pausedUntilNanos = base.nowNanos();
    }

    /** A clock that runs. */
    public static HostTimer create(VirtualTimer base) {
        return new HostTimer(base);
    }

    /** Holds every call back for a time. */
    public void pause(Duration length) {
        pausedUntilNanos = base.nowNanos() + length.toNanos();
    }

    /** Drops every call from now on. */
    public void kill() {
        dead = true;
    }

    /** False once killed. */
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

    /** Makes a call on the host: now, or when its pause is over, or never if it is dead. */
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
