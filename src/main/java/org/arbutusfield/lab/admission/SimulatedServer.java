package org.arbutusfield.lab.admission;

import java.util.function.BiConsumer;
import org.arbutusfield.admission.SlotRelease.Outcome;

/** A server that runs so many requests at once, sheds all others, and stops a request at its deadline. */
final class SimulatedServer {
    private final String name;
    private final String failureDomain;
    private final int slots;
    private final Loop loop;
    private final Tally tally;
    private int running;

    private SimulatedServer(String name, String failureDomain, int slots, Loop loop, Tally tally) {
        this.name = name;
        this.failureDomain = failureDomain;
        this.slots = slots;
        this.loop = loop;
        this.tally = tally;
    }

    static SimulatedServer of(String name, String failureDomain, int slots, Loop loop, Tally tally) {
        return new SimulatedServer(name, failureDomain, slots, loop, tally);
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

    /** Runs or sheds a job and tells how long it ran. */
    void run(Job job, BiConsumer<Outcome, Long> done) {
        if (running >= slots) {
            tally.shed();
            done.accept(Outcome.SHED, 0L);
            return;
        }
        long left = job.deadlineNanos() - loop.nowNanos();
        if (left <= 0) {
            done.accept(Outcome.CANCELLED, 0L);
            return;
        }
        running++;
        tally.running(1, loop.nowNanos());
        long nanos = Math.min(left, job.serviceNanos());
        Outcome outcome = left < job.serviceNanos() ? Outcome.CANCELLED : Outcome.COMPLETED;
        loop.after(nanos, () -> {
            running--;
            tally.running(-1, loop.nowNanos());
            done.accept(outcome, nanos);
        });
    }
}
