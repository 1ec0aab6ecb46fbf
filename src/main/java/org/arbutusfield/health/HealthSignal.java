package org.arbutusfield.health;

/** What one request or probe told about an upstream, and what it does to the trust in it. */
public enum HealthSignal {
    /** Answered in a time that is usual for the group. */
    FAST(2, 0, false),
    /** Answered, but several times slower than the group's median. */
    SLOW(-5, 0, false),
    /** Shed by the upstream: it works and is full. */
    SHED(-1, 40, false),
    /** A connection that had worked before went silent; only a fresh connection decides about the upstream. */
    SILENT_CONNECTION(-5, 40, false),
    /** No answer in time on a fresh connection. */
    TIMEOUT(-30, 0, true),
    /** The connection could not be opened. */
    CONNECT_FAILURE(-30, 0, true);

    private final int change;
    private final int floor;
    private final boolean hardFailure;

    HealthSignal(int change, int floor, boolean hardFailure) {
        this.change = change;
        this.floor = floor;
        this.hardFailure = hardFailure;
    }

    /** True for a failure that this host saw itself on a fresh connection. */
    public boolean hardFailure() {
        return hardFailure;
    }

    /** True for an answer in usual time. */
    public boolean good() {
        return this == FAST;
    }

    /** The trust after this signal; a signal never takes it below its floor. */
    int applied(int score, int most) {
        if (change >= 0) {
            return Math.min(most, score + change);
        }
        return Math.max(Math.min(score, floor), score + change);
    }

    /**
     * Sorts an answer by its latency.
     *
     * @param latencyNanos time to the answer, in nanoseconds
     * @param medianNanos median of the group's latencies, in nanoseconds; 0 while unknown
     */
    public static HealthSignal ofLatency(long latencyNanos, long medianNanos) {
        return medianNanos > 0 && latencyNanos > GroupLatency.SLOW_RATIO * medianNanos ? SLOW : FAST;
    }
}
