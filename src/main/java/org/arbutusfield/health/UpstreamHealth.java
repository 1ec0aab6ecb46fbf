package org.arbutusfield.health;

import java.time.Duration;

/**
 * What one host thinks of one upstream. Immutable; each signal gives a new value.
 *
 * <p><b>Problem.</b> Health and load endpoints lag or mislead, a gray server answers slowly and fails nothing, a
 * flapping one looks well half of the time, and a server of which nothing is heard may be in any state.
 *
 * <p><b>Idea.</b> Trust between 0 and {@link #MAX_SCORE} moves with each signal of the host's own requests: a little up
 * for each good answer, further down for each bad one, so that recovery is additive. Below one mark a server is suspect
 * and gets less work; below another it is ejected. An ejected server is probed once its time is over; a few good
 * answers in a row take it back as suspect. Each ejection lasts twice as long as the one before; a quiet minute takes
 * one doubling back.
 *
 * <p><b>Invariants.</b> Sheds and silent old connections alone never eject. Old news is not believed: without signals
 * the share of work shrinks, and grows again only with answers. A signal that was sent before an ejection does not end
 * it.
 *
 * <p><b>Example.</b> A server that dies gets three connect failures: 100, 70, 40, 10, ejected for 2 s. The probe fails:
 * ejected for 4 s. It flaps: the next ejections last 8, 16, 32 s and then a minute.
 *
 * @param state state at the last signal
 * @param score 0 to {@link #MAX_SCORE}
 * @param meanNanos moving mean of latencies, in nanoseconds; 0 before the first answer
 * @param ejections ejections that still count
 * @param probeSuccesses good answers in a row while probing
 * @param hardFailure whether the last bad signal was a failure on a fresh connection
 * @param sinceNanos when the state began
 * @param lastSignalNanos when the last signal came
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
    /** Trust in a server that has done well for long. */
    public static final int MAX_SCORE = 100;

    /** Without a signal for this long, a server's state is old news. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(10);

    private static final int SUSPECT_BELOW = 60;
    private static final int EJECT_BELOW = 20;
    private static final int PROBES_TO_RETURN = 3;
    private static final int MAX_DOUBLINGS = 5;
    private static final long FIRST_EJECTION_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long FORGIVE_NANOS = Duration.ofMinutes(1).toNanos();
    private static final double PROBING_SHARE = 0.02;
    private static final double STALE_SHARE = 0.5;
    private static final double MEAN_STEP = 0.1;

    /** Whether a server gets work. */
    public enum State {
        /** Gets its full share. */
        HEALTHY,
        /** Gets less, by its trust. */
        SUSPECT,
        /** Gets nothing until its time is over. */
        EJECTED,
        /** Gets probes and single requests until it has shown that it works. */
        PROBING
    }

    /** A server of which nothing is known yet: suspect, so that it is tried gently. */
    public static UpstreamHealth unknown(long nowNanos) {
        return new UpstreamHealth(State.SUSPECT, SUSPECT_BELOW - 1, 0, 0, 0, false, nowNanos, nowNanos);
    }

    /** The health after an answer. */
    public UpstreamHealth afterResponse(long latencyNanos, long medianNanos, long nowNanos) {
        long mean = meanNanos == 0 ? latencyNanos : meanNanos + (long) (MEAN_STEP * (latencyNanos - meanNanos));
        return withMean(mean).afterSignal(HealthSignal.ofLatency(latencyNanos, medianNanos), nowNanos);
    }

    /** The health after a signal. */
    public UpstreamHealth afterSignal(HealthSignal signal, long nowNanos) {
        UpstreamHealth current = asOf(nowNanos);
        return switch (current.state) {
            case EJECTED -> current;
            case PROBING -> current.probed(signal, nowNanos);
            case HEALTHY, SUSPECT -> current.trusted(signal, nowNanos);
        };
    }

    /** The health at a time: an ejection ends and old ejections are forgiven. */
    public UpstreamHealth asOf(long nowNanos) {
        long age = nowNanos - sinceNanos;
        if (state == State.EJECTED && age >= ejectionNanos()) {
            return new UpstreamHealth(
                    State.PROBING, score, meanNanos, ejections, 0, hardFailure, nowNanos, lastSignalNanos);
        }
        if (state == State.HEALTHY && ejections > 0 && age >= FORGIVE_NANOS) {
            return new UpstreamHealth(
                    state, score, meanNanos, ejections - 1, 0, hardFailure, nowNanos, lastSignalNanos);
        }
        return this;
    }

    /** Share of its usual work that the server should get, 0 to 1. */
    public double share(long nowNanos) {
        UpstreamHealth current = asOf(nowNanos);
        double fresh = nowNanos - lastSignalNanos > STALE_AFTER.toNanos() ? STALE_SHARE : 1;
        return switch (current.state) {
            case EJECTED -> 0;
            case PROBING -> PROBING_SHARE;
            case SUSPECT -> fresh * Math.max(EJECT_BELOW, score) / MAX_SCORE;
            case HEALTHY -> fresh;
        };
    }

    /** How long the present ejection lasts, in nanoseconds. */
    long ejectionNanos() {
        return FIRST_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, Math.max(0, ejections - 1));
    }

    private UpstreamHealth probed(HealthSignal signal, long nowNanos) {
        if (!signal.good()) {
            return signal.hardFailure() || signal == HealthSignal.SLOW ? eject(signal, nowNanos) : this;
        }
        int successes = probeSuccesses + 1;
        return successes < PROBES_TO_RETURN
                ? new UpstreamHealth(state, score, meanNanos, ejections, successes, hardFailure, sinceNanos, nowNanos)
                : new UpstreamHealth(
                        State.SUSPECT, SUSPECT_BELOW - 1, meanNanos, ejections, 0, false, nowNanos, nowNanos);
    }

    private UpstreamHealth trusted(HealthSignal signal, long nowNanos) {
        int next = signal.applied(score, MAX_SCORE);
        if (next < EJECT_BELOW && !signal.good()) {
            return eject(signal, nowNanos);
        }
        State changed = next < SUSPECT_BELOW ? State.SUSPECT : State.HEALTHY;
        long since = changed == state ? sinceNanos : nowNanos;
        boolean stillHard = !signal.good() && signal.hardFailure();
        return new UpstreamHealth(changed, next, meanNanos, ejections, 0, stillHard, since, nowNanos);
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
