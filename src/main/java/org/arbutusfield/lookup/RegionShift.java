package org.arbutusfield.lookup;

/**
 * The share of a region's callers that look-ups send to another region.
 *
 * <p>Callers use an answer until it expires, so a changed share takes full effect only after the maximum age. The share
 * may therefore change by at most {@link #MAX_CHANGE} within one maximum age, up or down.
 *
 * @param from home region of the callers
 * @param to region to which the moved callers are sent
 * @param share share of the caller blocks, 0 to 1
 * @param changedNanos monotonic time of the last change
 */
public record RegionShift(String from, String to, double share, long changedNanos) {
    /** Largest change of a share within one maximum age of an answer. */
    public static final double MAX_CHANGE = 0.2;

    /** A shift that moves no callers yet. */
    public static RegionShift none(String from, String to, long nowNanos) {
        return new RegionShift(from, to, 0, nowNanos);
    }

    /**
     * The shift after a step towards a target share.
     *
     * @param target target share, 0 to 1; should not exceed the share that the shift cap allows
     * @param maxAgeNanos maximum age of answers, in nanoseconds
     * @param nowNanos monotonic time
     */
    public RegionShift towards(double target, long maxAgeNanos, long nowNanos) {
        double elapsed = Math.min(1, Math.max(0, (double) (nowNanos - changedNanos) / maxAgeNanos));
        double step = MAX_CHANGE * elapsed;
        double next = Math.max(share - step, Math.min(share + step, target));
        return next == share && target != share ? this : new RegionShift(from, to, next, nowNanos);
    }
}
