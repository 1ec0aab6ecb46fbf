package org.arbutusfield.lab.soak;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts over all callers. Thread-safe. */
final class SoakTally {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger closeFailures = new AtomicInteger();

    private SoakTally() {}

    static SoakTally create() {
        return new SoakTally();
    }

    void sent() {
        sent.incrementAndGet();
    }

    void served() {
        served.incrementAndGet();
    }

    void closeFailed() {
        closeFailures.incrementAndGet();
    }

    int sentSoFar() {
        return sent.get();
    }

    int servedSoFar() {
        return served.get();
    }

    int closeFailuresSoFar() {
        return closeFailures.get();
    }
}
