package org.arbutusfield.shift;

import java.time.Duration;

/**
 * How warm a region's caches are for callers of another region. Immutable.
 *
 * <p>Warmth rises from 0 to 1 over the ramp time while traffic flows, and falls at the same rate while there is none.
 *
 * @param warmth 0 is cold, 1 is warm
 * @param rampNanos time from cold to warm, in nanoseconds; 0 means always warm
 * @param lastUsedNanos when traffic last flowed
 */
public record ColdRamp(double warmth, long rampNanos, long lastUsedNanos) {
    /** Share of the full traffic that a cold region may take immediately. */
    public static final double COLD_SHARE = 0.1;

    private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Returns the ramp of a cold region. */
    public static ColdRamp cold(int rampSeconds, long nowNanos) {
        return new ColdRamp(0, Duration.ofSeconds(rampSeconds).toNanos(), nowNanos - IDLE_NANOS);
    }

    /** Returns the ramp after traffic at the given time. */
    public ColdRamp used(long nowNanos) {
        return new ColdRamp(warmthAt(nowNanos), rampNanos, nowNanos);
    }

    /** Share of the full traffic that the region may take now, {@link #COLD_SHARE} to 1. */
    public double share(long nowNanos) {
        return Math.max(COLD_SHARE, warmthAt(nowNanos));
    }

    private double warmthAt(long nowNanos) {
        if (rampNanos == 0) {
            return 1;
        }
        long gap = nowNanos - lastUsedNanos;
        double change = (double) gap / rampNanos;
        return gap < IDLE_NANOS ? Math.min(1, warmth + change) : Math.max(0, warmth - change);
    }
}
