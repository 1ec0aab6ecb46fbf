package org.arbutusfield.shift;

import java.time.Duration;

/**
 * One host's share of the capacity of a link between regions, as a token bucket of bits.
 *
 * <p>The share is the link's rate divided by the maximum number of hosts that send on it, so that all hosts together
 * stay under the rate without coordination. Non-interactive traffic leaves a reserve in the bucket for interactive
 * traffic. Not thread-safe: the owner serializes calls.
 */
public final class LinkBudget {
    private static final double INTERACTIVE_RESERVE = 0.3;
    private static final Duration BUCKET_DEPTH = Duration.ofMillis(100);
    private static final double NANOS_PER_SECOND = 1e9;

    private final double bitsPerNano;
    private final double depthBits;
    private double bits;
    private long lastNanos;

    private LinkBudget(double bitsPerNano, long nowNanos) {
        this.bitsPerNano = bitsPerNano;
        this.depthBits = bitsPerNano * BUCKET_DEPTH.toNanos();
        this.bits = 0;
        this.lastNanos = nowNanos;
    }

    /**
     * Creates the empty bucket of one host.
     *
     * @param bitsPerSecond rate of the link
     * @param hostCeiling maximum number of hosts that send on it at once
     * @param nowNanos monotonic time
     */
    public static LinkBudget of(long bitsPerSecond, int hostCeiling, long nowNanos) {
        return new LinkBudget(bitsPerSecond / NANOS_PER_SECOND / Math.max(1, hostCeiling), nowNanos);
    }

    /** True if traffic of this kind may be sent now. */
    public boolean permits(boolean interactive, long nowNanos) {
        return level(nowNanos) > reserveBits(interactive);
    }

    /**
     * Charges bits that are being sent; the last chunk may take the bucket below zero.
     *
     * @param count bits on the link
     * @param nowNanos monotonic time
     */
    public void charge(long count, long nowNanos) {
        bits = level(nowNanos) - count;
        lastNanos = nowNanos;
    }

    /** Time until traffic of this kind may be sent, in nanoseconds; 0 if it may be sent now. */
    public long waitNanos(boolean interactive, long nowNanos) {
        double missing = reserveBits(interactive) - level(nowNanos);
        return missing < 0 ? 0 : (long) Math.ceil(missing / bitsPerNano) + 1;
    }

    private double level(long nowNanos) {
        return Math.min(depthBits, bits + bitsPerNano * Math.max(0, nowNanos - lastNanos));
    }

    private double reserveBits(boolean interactive) {
        return interactive ? 0 : depthBits * INTERACTIVE_RESERVE;
    }
}
