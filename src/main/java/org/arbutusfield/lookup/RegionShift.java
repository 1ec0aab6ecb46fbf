package org.arbutusfield.lookup;

/**
 * How much of a region's callers the look-up sends to another region.
 *
 * <p>Look-ups are the slow lever: an answer counts until it expires, so the share handed out may change by at most
 * {@link #MAX_CHANGE} in one maximum age, up or down.
 *
 * @param from home region of the callers
 * @param to region that the moved callers are sent to
 * @param share share of the caller blocks, 0 to 1
 * @param changedNanos monotonic time of the last change
 */
public record RegionShift(String from, String to, double share, long changedNanos) {
    /** Largest change of a share within one maximum age of an answer. */
    public static final double MAX_CHANGE = 0.2;

    /** No callers moved yet. */
    public static RegionShift none(String from, String to, long nowNanos) {
        return new RegionShift(from, to, 0, nowNanos);
    }

    /**
     * The shift after a step towards a target share.
     *
     * @param target wanted share, 0 to 1; a move cap's share is the most that makes sense
     * @param maxAgeNanos how long handed-out answers live, in nanoseconds
     * @param nowNanos monotonic time
     */
    public RegionShift towards(double target, long maxAgeNanos, long nowNanos) {
        double elapsed = Math.min(1, Math.max(0, (double) (nowNanos - changedNanos) / maxAgeNanos));
        double step = MAX_CHANGE * elapsed;
        double next = Math.max(share - step, Math.min(share + step, target));
        return next == share && target != share ? this : new RegionShift(from, to, next, nowNanos);
    }
}
