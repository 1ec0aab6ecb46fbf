package org.arbutusfield.lab.shift;

import org.arbutusfield.shift.SlidingWindowCounter;

/** The simple alternative to shares: one counter in the store, which hosts add to and read periodically. */
final class CentralCounter {
    private final SlidingWindowCounter moved = SlidingWindowCounter.over(CapSimulation.INTERVAL.toNanos(), 0);

    void add(long count, long nowNanos) {
        moved.add(count, nowNanos);
    }

    long total(long nowNanos) {
        return moved.outerSum(nowNanos);
    }
}
