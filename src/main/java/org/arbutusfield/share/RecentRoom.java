package org.arbutusfield.share;

import java.util.Arrays;

/**
 * The least room that a bucket had in each of the last steps of time, so that a token is given back only if the bucket
 * could have held it all the time since it was taken.
 *
 * <p>Without this, tokens that accrued while the request waited and the one given back could together exceed the burst.
 */
final class RecentRoom {
    private static final int STEPS = 64;
    private static final long STEP_NANOS = 125_000_000;

    private final double[] least = new double[STEPS];
    private long latestStep = Long.MIN_VALUE;

    /** Takes note of the room that the bucket has at a time. */
    void observe(double room, long nowNanos) {
        long step = Math.floorDiv(nowNanos, STEP_NANOS);
        if (latestStep == Long.MIN_VALUE || step - latestStep >= STEPS) {
            Arrays.fill(least, room);
            latestStep = step;
            return;
        }
        while (latestStep < step) {
            latestStep++;
            least[index(latestStep)] = room;
        }
        least[index(step)] = Math.min(least[index(step)], room);
    }

    /** Returns true if there was room for another token since a time, and counts it as held since then. */
    boolean tryReserve(long sinceNanos) {
        long first = Math.floorDiv(sinceNanos, STEP_NANOS);
        if (latestStep - first >= STEPS) {
            return false;
        }
        for (long step = first; step <= latestStep; step++) {
            if (least[index(step)] < 1) {
                return false;
            }
        }
        for (long step = first; step <= latestStep; step++) {
            least[index(step)]--;
        }
        return true;
    }

    private static int index(long step) {
        return (int) Math.floorMod(step, (long) STEPS);
    }
}
