package org.arbutusfield.lab.admission;

import java.time.Duration;
import org.arbutusfield.timer.VirtualTimer;

/** Event loop of a simulation, with virtual time in nanoseconds. */
final class SimulationLoop {
    private final VirtualTimer timer = VirtualTimer.create();

    private SimulationLoop() {}

    static SimulationLoop create() {
        return new SimulationLoop();
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
