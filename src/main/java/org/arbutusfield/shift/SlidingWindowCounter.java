package org.arbutusfield.shift;

import java.util.Arrays;

/**
 * Counts events over a sliding interval, in buckets of a twentieth of the interval.
 *
 * <p>The outer sum covers at least the interval up to now, the inner sum at most the interval. So a limit on the outer
 * sum holds for every interval of that length, wherever it begins, and a quota based on the inner sum was earned within
 * the interval. Not thread-safe; time must not decrease.
 */
public final class SlidingWindowCounter {
    private static final int BUCKETS = 20;
    private static final int RING_SIZE = BUCKETS + 1;

    private final long bucketNanos;
    private final long[] ring = new long[RING_SIZE];
    private long newest;
    private long total;

    private SlidingWindowCounter(long bucketNanos, long newest) {
        this.bucketNanos = bucketNanos;
        this.newest = newest;
    }

    /** Creates a counter at zero for intervals of the given length, in nanoseconds. */
    public static SlidingWindowCounter over(long intervalNanos, long nowNanos) {
        long bucketNanos = Math.max(1, (intervalNanos + BUCKETS - 1) / BUCKETS);
        return new SlidingWindowCounter(bucketNanos, Math.floorDiv(nowNanos, bucketNanos));
    }

    /** Counts events at the present time. */
    public void add(long count, long nowNanos) {
        advance(nowNanos);
        ring[index(newest)] += count;
        total += count;
    }

    /**
     * Subtracts events counted earlier. Does nothing if they have already left the interval.
     *
     * @param count number of events
     * @param countedNanos when they were counted
     * @param nowNanos monotonic time
     */
    public void subtract(long count, long countedNanos, long nowNanos) {
        advance(nowNanos);
        long bucket = Math.floorDiv(countedNanos, bucketNanos);
        if (newest - bucket >= RING_SIZE) {
            return;
        }
        long removed = Math.min(count, ring[index(bucket)]);
        ring[index(bucket)] -= removed;
        total -= removed;
    }

    /** Number of events in a span that contains the whole interval up to now. */
    public long outerSum(long nowNanos) {
        advance(nowNanos);
        return total;
    }

    /** Number of events in a span that lies within the interval up to now. */
    public long innerSum(long nowNanos) {
        advance(nowNanos);
        return total - ring[index(newest + 1)];
    }

    private void advance(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        if (bucket - newest >= RING_SIZE) {
            Arrays.fill(ring, 0);
            total = 0;
            newest = bucket;
        }
        while (newest < bucket) {
            newest++;
            total -= ring[index(newest)];
            ring[index(newest)] = 0;
        }
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) RING_SIZE);
    }
}
