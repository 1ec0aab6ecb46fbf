package org.arbutusfield.lab.soak;

import java.util.concurrent.atomic.AtomicInteger;

/** Counters over all callers. Thread-safe. */
final class SoakCounters {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger closeFailures = new AtomicInteger();

    private SoakCounters() {}

    static SoakCounters create() {
        return new SoakCounters();
    }

    void recordSent() {
        sent.incrementAndGet();
    }

    void recordServed() {
        served.incrementAndGet();
    }

    void recordCloseFailure() {
        closeFailures.incrementAndGet();
    }

    int sentCount() {
        return sent.get();
    }

    int servedCount() {
        return served.get();
    }

    int closeFailureCount() {
        return closeFailures.get();
    }
}
