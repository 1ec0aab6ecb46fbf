package org.arbutusfield.lab.admission;

import java.util.function.BiConsumer;
import org.arbutusfield.admission.SlotRelease.Outcome;

/** A server that runs as many jobs at once as it has slots, sheds all others, and cancels a job at its deadline. */
final class SimulatedServer {
    private final String name;
    private final String failureDomain;
    private final int slots;
    private final SimulationLoop loop;
    private final RunStatistics statistics;
    private int running;

    private SimulatedServer(
            String name, String failureDomain, int slots, SimulationLoop loop, RunStatistics statistics) {
        this.name = name;
        this.failureDomain = failureDomain;
        this.slots = slots;
        this.loop = loop;
        this.statistics = statistics;
    }

    static SimulatedServer of(
            String name, String failureDomain, int slots, SimulationLoop loop, RunStatistics statistics) {
        return new SimulatedServer(name, failureDomain, slots, loop, statistics);
    }

    String name() {
        return name;
    }

    String failureDomain() {
        return failureDomain;
    }

    int slots() {
        return slots;
    }

    int running() {
        return running;
    }

    /** Runs or sheds a job, then calls back with the outcome and the time that it ran, in nanoseconds. */
    void run(Job job, BiConsumer<Outcome, Long> onEnd) {
        if (running >= slots) {
            statistics.recordShed();
            onEnd.accept(Outcome.SHED, 0L);
            return;
        }
        long remainingNanos = job.deadlineNanos() - loop.nowNanos();
        if (remainingNanos <= 0) {
            onEnd.accept(Outcome.CANCELLED, 0L);
            return;
        }
        running++;
        statistics.recordRunningChange(1, loop.nowNanos());
        long nanos = Math.min(remainingNanos, job.serviceNanos());
        Outcome outcome = remainingNanos < job.serviceNanos() ? Outcome.CANCELLED : Outcome.COMPLETED;
        loop.after(nanos, () -> {
            running--;
            statistics.recordRunningChange(-1, loop.nowNanos());
            onEnd.accept(outcome, nanos);
        });
    }
}
