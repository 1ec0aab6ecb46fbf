package org.arbutusfield.shift;

/**
 * Limits moved requests to a share of the requests seen by this host.
 *
 * <p>Each request seen earns the share as credit, and each moved request costs 1. Credit never exceeds 1, so in any
 * span of time, however short, at most share x seen + 1 requests are moved. In addition, the sliding interval that ends
 * with a moved request never contains more than share x seen moved requests. Both bounds also hold for the sum over all
 * hosts. Not thread-safe.
 */
public final class ShareLimiter {
    private static final long FIXED_POINT_ONE = 1_000_000;

    private final long share;
    private final SlidingWindowCounter seen;
    private final SlidingWindowCounter moved;
    private long credit;

    private ShareLimiter(long share, long intervalNanos, long nowNanos) {
        this.share = share;
        this.seen = SlidingWindowCounter.over(intervalNanos, nowNanos);
        this.moved = SlidingWindowCounter.over(intervalNanos, nowNanos);
    }

    /**
     * Creates a limiter without credit.
     *
     * @param maxShare share of requests that may be moved, 0 to 1
     * @param intervalNanos sliding interval, in nanoseconds
     * @param nowNanos monotonic time
     */
    public static ShareLimiter of(double maxShare, long intervalNanos, long nowNanos) {
        return new ShareLimiter((long) Math.floor(maxShare * FIXED_POINT_ONE), intervalNanos, nowNanos);
    }

    /** Counts a request that may be moved. */
    public void countSeen(long nowNanos) {
        seen.add(1, nowNanos);
        credit = Math.min(FIXED_POINT_ONE, credit + share);
    }

    /** True if one more request may be moved. */
    public boolean permits(long nowNanos) {
        if (credit < FIXED_POINT_ONE) {
            return false;
        }
        return share >= FIXED_POINT_ONE
                || (moved.outerSum(nowNanos) + 1) * FIXED_POINT_ONE <= seen.innerSum(nowNanos) * share;
    }

    /** Counts a moved request. */
    public void countMoved(long nowNanos) {
        moved.add(1, nowNanos);
        credit -= FIXED_POINT_ONE;
    }

    /** Refunds a moved request that was not run. */
    public void refund(long usedNanos, long nowNanos) {
        moved.subtract(1, usedNanos, nowNanos);
        credit = Math.min(FIXED_POINT_ONE, credit + FIXED_POINT_ONE);
    }
}
