package org.arbutusfield.reach;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether a host reaches the upstreams of one service.
 *
 * <p>Problem: an upstream that can't be connected to is either down itself, or the host has lost its link to it. In the
 * second case all others are lost too, and trying one after the other takes all the time that a request has.
 *
 * <p>Idea: the host is cut off from the service when several upstreams in a row can't be connected to and none can.
 * Open connections don't count, because they may live on while no new one can be opened. Afterwards probes look for the
 * end of it, and the host's own links get back a share of the requests that doubles while they work.
 *
 * <p>Invariants: one upstream that is down, however often it is tried, is no sign of a cut. A host that is cut off
 * sends no request over its own links until a probe has succeeded.
 *
 * <p>Example: connections to five upstreams time out, none succeeds in between: cut off. Two seconds later a probe
 * reaches upstream 3: a tenth of the requests use own links, then a fifth, and so on; one fails: half of that share.
 *
 * <p>Callers pass the current time. Not thread-safe.
 */
final class ServiceReach {
    /** Upstreams in a row that can't be connected to; all of them if the service has fewer. */
    private static final int CUT_OFF_AFTER = 5;
    /** From here on a request that failed to connect isn't tried at another upstream of this host. */
    private static final int DOUBTFUL_AFTER = 2;

    private static final double FIRST_SHARE = 0.1;
    private static final Duration STEP = Duration.ofMillis(300);
    private static final Duration MAX_HOLD = Duration.ofSeconds(3);

    private final Set<String> unreachable = new HashSet<>();
    private boolean cutOff;
    private double ownShare = 1;
    private long nextStepNanos;
    /** Time for which the host stays cut off, whatever probes say. Doubles each time its links fail again at once. */
    private Duration hold = STEP;

    private long holdEndNanos;

    private ServiceReach() {}

    /** A service whose upstreams are reached. */
    static ServiceReach create() {
        return new ServiceReach();
    }

    /** Records that an upstream was connected to and responded. */
    void reached(long nowNanos) {
        unreachable.clear();
        if (cutOff && nowNanos - holdEndNanos < 0) {
            return;
        }
        if (cutOff) {
            cutOff = false;
            ownShare = FIRST_SHARE;
            nextStepNanos = nowNanos + STEP.toNanos();
        } else if (ownShare < 1 && nowNanos - nextStepNanos >= 0) {
            ownShare = Math.min(1, 2 * ownShare);
            nextStepNanos = nowNanos + STEP.toNanos();
            hold = ownShare < 1 ? hold : STEP;
        }
    }

    /**
     * Records that an upstream could not be connected to; returns true if the host is cut off from now on.
     *
     * @param upstream name of the upstream
     * @param upstreams number of upstreams that the service has
     * @param nowNanos current monotonic time
     */
    boolean failed(String upstream, int upstreams, long nowNanos) {
        unreachable.add(upstream);
        if (cutOff) {
            return false;
        }
        if (ownShare < 1) {
            ownShare /= 2;
        }
        boolean enough = unreachable.size() >= Math.min(CUT_OFF_AFTER, Math.max(1, upstreams));
        cutOff = enough || ownShare < FIRST_SHARE;
        if (cutOff) {
            holdEndNanos = nowNanos + hold.toNanos();
            hold = hold.multipliedBy(2).compareTo(MAX_HOLD) < 0 ? hold.multipliedBy(2) : MAX_HOLD;
        }
        return cutOff;
    }

    /** True if no upstream of the service can be reached from this host. */
    boolean cutOff() {
        return cutOff;
    }

    /** True if it is likely that the host is being cut off, or if it was until shortly before. */
    boolean doubtful() {
        return cutOff || ownShare < 1 || unreachable.size() >= DOUBTFUL_AFTER;
    }

    /** Share of the requests that use the host's own links, from 0 to 1. */
    double ownShare() {
        return cutOff ? 0 : ownShare;
    }
}
