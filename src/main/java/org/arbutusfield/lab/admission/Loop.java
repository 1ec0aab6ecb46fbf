package org.arbutusfield.lab.admission;

import java.time.Duration;
import org.arbutusfield.timer.VirtualTimer;

/** Virtual time in nanoseconds. */
final class Loop {
    private final VirtualTimer timer = VirtualTimer.create();

    private Loop() {}

    static Loop create() {
        return new Loop();
    }

    long nowNanos() {
        return timer.nowNanos();
    }

    void after(long nanos, Runnable call) {
        timer.after(Duration.ofNanos(nanos), call);
    }

    void every(long nanos, Runnable call) {
        timer.every(Duration.ofNanos(nanos), call);
    }

    void runUntil(long nanos) {
        timer.advance(Duration.ofNanos(nanos - timer.nowNanos()));
    }
}
