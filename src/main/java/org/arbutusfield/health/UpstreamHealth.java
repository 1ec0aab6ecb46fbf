package org.arbutusfield.health;

import java.time.Duration;

/**
 * The health of one upstream as seen by one host. Immutable; each signal produces a new value.
 *
 * <p><b>Problem.</b> Health and load endpoints may lag or be wrong, an upstream with a gray failure responds slowly
 * without failing requests, a flapping upstream looks healthy half of the time, and an upstream without recent signals
 * may be in any state.
 *
 * <p><b>Idea.</b> A score between 0 and {@link #MAX_SCORE} changes with each signal of the host's own requests. It
 * rises by a small constant for each good response and falls by more for each bad one. Below one threshold an upstream
 * is suspect and gets less work; below another it is ejected. After the ejection time the upstream is probed, and a few
 * good responses in a row return it as suspect. Each ejection lasts twice as long as the one before; each healthy
 * minute undoes one doubling.
 *
 * <p><b>Invariants.</b> Shed requests and unresponsive reused connections alone never eject an upstream. Old
 * information expires: without signals the share of work shrinks, and only new signals restore it. Signals that arrive
 * during an ejection are ignored, so that late responses to earlier requests do not end it.
 *
 * <p><b>Example.</b> An upstream fails and causes three connect failures: the score goes 100, 70, 40, 10, and the
 * upstream is ejected for 2 s. The probe fails, so it is ejected for 4 s. If it keeps flapping, the next ejections last
 * 8, 16, 32 s and then 64 s each.
 *
 * @param state state at the last signal
 * @param score 0 to {@link #MAX_SCORE}
 * @param meanNanos moving average of the latencies, in nanoseconds; 0 before the first response
 * @param ejections number of past ejections that still count
 * @param probeSuccesses good responses in a row while probing
 * @param hardFailure whether the last signal was a failure on a new connection; while ejected or probing, the signal
 *     that caused the ejection
 * @param sinceNanos monotonic time at which the state began
 * @param lastSignalNanos monotonic time of the last signal that counted
 */
public record UpstreamHealth(
        State state,
        int score,
        long meanNanos,
        int ejections,
        int probeSuccesses,
        boolean hardFailure,
        long sinceNanos,
        long lastSignalNanos) {
    /** Score of an upstream without recent problems. */
    public static final int MAX_SCORE = 100;

    /** Time without a signal after which an upstream's state counts as stale. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(10);

    private static final int SUSPECT_BELOW = 60;
    private static final int EJECT_BELOW = 20;
    private static final int SUCCESSES_TO_RETURN = 3;
    private static final int MAX_DOUBLINGS = 5;
    private static final long FIRST_EJECTION_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long EJECTION_DECAY_NANOS = Duration.ofMinutes(1).toNanos();
    private static final double PROBING_SHARE = 0.02;
    private static final double STALE_SHARE = 0.5;
    private static final double MEAN_SMOOTHING = 0.1;

    /** How much work an upstream gets. */
    public enum State {
        /** Gets its full share. */
        HEALTHY,
        /** Gets a smaller share, in proportion to its score. */
        SUSPECT,
        /** Gets nothing until the ejection time is over. */
        EJECTED,
        /** Gets probes and a small share of requests until enough of them succeeded. */
        PROBING
    }

    /** The initial health of an upstream: suspect, so that it gets a reduced share at first. */
    public static UpstreamHealth unknown(long nowNanos) {
        return new UpstreamHealth(State.SUSPECT, SUSPECT_BELOW - 1, 0, 0, 0, false, nowNanos, nowNanos);
    }

    /** Returns the health after a response. */
    public UpstreamHealth afterResponse(long latencyNanos, long medianNanos, long nowNanos) {
        long mean = meanNanos == 0 ? latencyNanos : meanNanos + (long) (MEAN_SMOOTHING * (latencyNanos - meanNanos));
        return withMean(mean).afterSignal(HealthSignal.ofLatency(latencyNanos, medianNanos), nowNanos);
    }

    /** Returns the health after a signal. */
    public UpstreamHealth afterSignal(HealthSignal signal, long nowNanos) {
        UpstreamHealth current = asOf(nowNanos);
        return switch (current.state) {
            case EJECTED -> current;
            case PROBING -> current.updateProbing(signal, nowNanos);
            case HEALTHY, SUSPECT -> current.updateScore(signal, nowNanos);
        };
    }

    /**
     * Returns the health at the given time, at which an ejection may have ended and an earlier one may no longer count.
     */
    public UpstreamHealth asOf(long nowNanos) {
        long age = nowNanos - sinceNanos;
        if (state == State.EJECTED && age >= ejectionNanos()) {
            return new UpstreamHealth(
                    State.PROBING, score, meanNanos, ejections, 0, hardFailure, nowNanos, lastSignalNanos);
        }
        if (state == State.HEALTHY && ejections > 0 && age >= EJECTION_DECAY_NANOS) {
            return new UpstreamHealth(
                    state, score, meanNanos, ejections - 1, 0, hardFailure, nowNanos, lastSignalNanos);
        }
        return this;
    }

    /** Share of its normal work that the upstream should get, 0 to 1. */
    public double share(long nowNanos) {
        UpstreamHealth current = asOf(nowNanos);
        double freshnessFactor = nowNanos - lastSignalNanos > STALE_AFTER.toNanos() ? STALE_SHARE : 1;
        return switch (current.state) {
            case EJECTED -> 0;
            case PROBING -> PROBING_SHARE;
            case SUSPECT -> freshnessFactor * Math.max(EJECT_BELOW, score) / MAX_SCORE;
            case HEALTHY -> freshnessFactor;
        };
    }

    /** Duration of the current ejection, in nanoseconds. */
    long ejectionNanos() {
        return FIRST_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, Math.max(0, ejections - 1));
    }

    private UpstreamHealth updateProbing(HealthSignal signal, long nowNanos) {
        if (!signal.good()) {
            return signal.hardFailure() || signal == HealthSignal.SLOW ? eject(signal, nowNanos) : this;
        }
        int successes = probeSuccesses + 1;
        return successes < SUCCESSES_TO_RETURN
                ? new UpstreamHealth(state, score, meanNanos, ejections, successes, hardFailure, sinceNanos, nowNanos)
                : new UpstreamHealth(
                        State.SUSPECT, SUSPECT_BELOW - 1, meanNanos, ejections, 0, false, nowNanos, nowNanos);
    }

    private UpstreamHealth updateScore(HealthSignal signal, long nowNanos) {
        int next = signal.applyTo(score, MAX_SCORE);
        if (next < EJECT_BELOW && !signal.good()) {
            return eject(signal, nowNanos);
        }
        State changed = next < SUSPECT_BELOW ? State.SUSPECT : State.HEALTHY;
        long since = changed == state ? sinceNanos : nowNanos;
        boolean isHardFailure = !signal.good() && signal.hardFailure();
        return new UpstreamHealth(changed, next, meanNanos, ejections, 0, isHardFailure, since, nowNanos);
    }

    private UpstreamHealth eject(HealthSignal signal, long nowNanos) {
        return new UpstreamHealth(
                State.EJECTED, 0, meanNanos, ejections + 1, 0, signal.hardFailure(), nowNanos, nowNanos);
    }

    private UpstreamHealth withMean(long mean) {
        return new UpstreamHealth(
                state, score, mean, ejections, probeSuccesses, hardFailure, sinceNanos, lastSignalNanos);
    }
}
