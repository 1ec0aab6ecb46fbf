package org.arbutusfield.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Back-off for upstreams whose requests from this host failed recently. The back-off grows exponentially with
 * consecutive failures and ends with the first success. When it has elapsed, requests test whether the upstream is
 * available again.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
public final class UpstreamBackoff {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(3);
    private static final int MAX_DOUBLINGS = 3;

    private final Map<String, Backoff> backoffs = new HashMap<>();

    private UpstreamBackoff() {}

    /** Creates an instance without upstreams in back-off. */
    public static UpstreamBackoff create() {
        return new UpstreamBackoff();
    }

    /** Records that a request to the upstream failed. */
    public void recordFailure(String upstream, long nowNanos) {
        Backoff previous = backoffs.get(upstream);
        int failures = previous == null ? 1 : previous.failures + 1;
        long durationNanos =
                Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << Math.min(failures - 1, MAX_DOUBLINGS));
        backoffs.put(upstream, new Backoff(failures, nowNanos + durationNanos));
    }

    /** Records that the upstream completed a request. */
    public void recordSuccess(String upstream) {
        backoffs.remove(upstream);
    }

    /** Returns true while the upstream should get no requests. */
    public boolean inBackoff(String upstream, long nowNanos) {
        Backoff backoff = backoffs.get(upstream);
        return backoff != null && backoff.endNanos - nowNanos > 0;
    }

    /** Discards the state of all other upstreams. */
    public void retainAll(Set<String> upstreams) {
        backoffs.keySet().retainAll(upstreams);
    }

    /**
     * Back-off of one upstream.
     *
     * @param failures number of consecutive failures
     * @param endNanos monotonic time at which the back-off ends
     */
    private record Backoff(int failures, long endNanos) {}
}
