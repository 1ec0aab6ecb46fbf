package org.arbutusfield.steering;

import java.time.Duration;

/** Counts events in a sliding time window, divided into 20 buckets. Callers pass the current time. */
final class SlidingWindowCounter {
    private static final int BUCKETS = 20;

    private final long bucketNanos;
    private final long[] bucketNumbers = new long[BUCKETS + 1];
    private final int[] counts = new int[BUCKETS + 1];

    private SlidingWindowCounter(long bucketNanos) {
        this.bucketNanos = bucketNanos;
    }

    /** Creates a counter for a window of this length. */
    static SlidingWindowCounter ofWindow(Duration window) {
        return new SlidingWindowCounter(Math.max(1, window.toNanos() / BUCKETS));
    }

    /** Counts one event at the given time. */
    void add(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        int index = (int) Math.floorMod(bucket, (long) counts.length);
        if (bucketNumbers[index] != bucket) {
            bucketNumbers[index] = bucket;
            counts[index] = 0;
        }
        counts[index]++;
    }

    /** Returns the number of events in the window that ends at the given time. */
    int total(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        int total = 0;
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0 && bucketNumbers[i] <= bucket && bucket - bucketNumbers[i] <= BUCKETS) {
                total += counts[i];
            }
        }
        return total;
    }
}
