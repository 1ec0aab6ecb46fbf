package org.arbutusfield.share;

/**
 * Estimates the requests per second that callers ask for; recent ones weigh more. A single request counts for nothing:
 * with demand spread thinly over many hosts, each would otherwise hold a share that it uses once.
 */
final class DemandMeter {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Short enough to follow callers that move to another host each second. */
    private static final double DECAY_SECONDS = 0.5;

    private double weight;
    private long updatedNanos;

    /** Counts one request. */
    void count(long nowNanos) {
        decay(nowNanos);
        weight++;
    }

    /** Returns the estimate. */
    double perSecond(long nowNanos) {
        decay(nowNanos);
        return Math.max(0, weight - 1) / DECAY_SECONDS;
    }

    /** Forgets all requests. */
    void reset(long nowNanos) {
        weight = 0;
        updatedNanos = nowNanos;
    }

    private void decay(long nowNanos) {
        weight *= Math.exp(-(nowNanos - updatedNanos) / (NANOS_PER_SECOND * DECAY_SECONDS));
        updatedNanos = nowNanos;
    }
}
