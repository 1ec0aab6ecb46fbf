package org.arbutusfield.share;

/**
 * The least room that a bucket had in each of the last spans of time, so that a token is given back only if the bucket
 * could have held it all the time since it was taken.
 *
 * <p>Without this, tokens that accrued while the request waited and the one given back could together exceed the burst.
 */
final class RecentRoom {
    private static final int SPANS = 64;
    private static final long SPAN_NANOS = 125_000_000;

    private final double[] least = new double[SPANS];
    private final long[] starts = new long[SPANS];
    /** Number of spans begun. */
    private long begun;

    /** Takes note of the room that the bucket has at a time. */
    void observe(double room, long nowNanos) {
        if (begun > 0) {
            int latest = index(begun - 1);
            least[latest] = Math.min(least[latest], room);
            if (nowNanos - starts[latest] < SPAN_NANOS) {
                return;
            }
        }
        begin(room, nowNanos);
    }

    /** Takes note of the room after a token was taken; a bucket that was full before says nothing of the time since. */
    void taken(double room, long nowNanos) {
        if (begun == 0 || least[index(begun - 1)] < 1) {
            begin(room, nowNanos);
        }
    }

    /** Returns true if there was room for another token since a time, and counts it as held since then. */
    boolean tryReserve(long sinceNanos) {
        long oldest = Math.max(0, begun - SPANS);
        long first = begun - 1;
        while (first >= oldest && starts[index(first)] - sinceNanos > 0) {
            first--;
        }
        if (first < oldest) {
            return false;
        }
        for (long span = first; span < begun; span++) {
            if (least[index(span)] < 1) {
                return false;
            }
        }
        for (long span = first; span < begun; span++) {
            least[index(span)]--;
        }
        return true;
    }

    private void begin(double room, long nowNanos) {
        least[index(begun)] = room;
        starts[index(begun)] = nowNanos;
        begun++;
    }

    private static int index(long span) {
        return (int) (span % SPANS);
    }
}
