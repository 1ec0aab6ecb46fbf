package org.arbutusfield.health;

/** The result of one request or probe to an upstream, and its effect on the upstream's health score. */
public enum HealthSignal {
    /** The upstream responded in a time that is typical for the group. */
    FAST(2, 0, false),
    /** The upstream responded, but several times slower than the group's median. */
    SLOW(-5, 0, false),
    /** The upstream shed the request: it works but is overloaded. */
    SHED(-1, 40, false),
    /**
     * A connection that had worked before became unresponsive. Only a failure on a new connection counts fully against
     * the upstream.
     */
    SILENT_CONNECTION(-5, 40, false),
    /** No response in time on a new connection. */
    TIMEOUT(-30, 0, true),
    /** The connection could not be opened. */
    CONNECT_FAILURE(-30, 0, true);

    private final int scoreChange;
    private final int minScore;
    private final boolean hardFailure;

    HealthSignal(int scoreChange, int minScore, boolean hardFailure) {
        this.scoreChange = scoreChange;
        this.minScore = minScore;
        this.hardFailure = hardFailure;
    }

    /** True for a failure that this host observed on a new connection. */
    public boolean hardFailure() {
        return hardFailure;
    }

    /** True for a response in a typical time. */
    public boolean good() {
        return this == FAST;
    }

    /** Returns the score after this signal, which never lowers it below the minimum score of the signal. */
    int applyTo(int score, int maxScore) {
        if (scoreChange >= 0) {
            return Math.min(maxScore, score + scoreChange);
        }
        return Math.max(Math.min(score, minScore), score + scoreChange);
    }

    /**
     * Classifies a response by its latency.
     *
     * @param latencyNanos time until the response, in nanoseconds
     * @param medianNanos median of the group's latencies, in nanoseconds; 0 while unknown
     */
    public static HealthSignal ofLatency(long latencyNanos, long medianNanos) {
        return medianNanos > 0 && latencyNanos > GroupLatency.SLOW_RATIO * medianNanos ? SLOW : FAST;
    }
}
