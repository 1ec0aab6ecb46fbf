package org.arbutusfield.share;

/** Sizes of shares. */
final class ShareSizes {
    /** Rate of the share of a host with hardly any demand, if the limit allows it, in requests per second. */
    static final double IDLE_RATE = 1;
    /** Below this rate a share would take longer than its use to gain one token. */
    static final double MIN_RATE = 0.25;
    /**
     * The same while callers ask for nearly the whole rate: many small shares would occupy burst that the reserve can
     * lend to any host.
     */
    static final double MIN_BUSY_RATE = 2;
    /** Seconds of its rate that a share can hold; longer than it takes to notice that a host has become idle. */
    private static final double BURST_SECONDS = 0.6;
    /** With less than this many seconds of its rate, a share loses tokens between requests. */
    private static final double MIN_BURST_SECONDS = 0.2;

    private ShareSizes() {}

    /** Returns the burst that a share of a rate should have. */
    static double burst(double rate) {
        return 1 + BURST_SECONDS * rate;
    }

    /** Returns the highest rate that a share with a burst can use. */
    static double maxRate(double burst) {
        return Math.max(0, burst - 1) / MIN_BURST_SECONDS;
    }
}
