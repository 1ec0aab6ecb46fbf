package org.arbutusfield.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Upstreams that failed this host lately and are left alone for a while, longer with each failure in a row. After that
 * time one request finds out whether the upstream is back; success clears it.
 *
 * <p>Time is given by the caller. Not thread-safe; its owner calls it on one thread.
 */
public final class UpstreamBackoff {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(3);
    private static final int MAX_DOUBLINGS = 3;

    private final Map<String, Backoff> backoffs = new HashMap<>();

    private UpstreamBackoff() {}

    /** Nobody is suspected. */
    public static UpstreamBackoff create() {
        return new UpstreamBackoff();
    }

    /** A request failed at the upstream without an answer. */
    public void recordFailure(String upstream, long nowNanos) {
        Backoff previous = backoffs.get(upstream);
        int failures = previous == null ? 1 : previous.failures + 1;
        long length =
                Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << Math.min(failures - 1, MAX_DOUBLINGS));
        backoffs.put(upstream, new Backoff(failures, nowNanos + length));
    }

    /** The upstream answered. */
    public void recordSuccess(String upstream) {
        backoffs.remove(upstream);
    }

    /** True while the upstream should get nothing. */
    public boolean inBackoff(String upstream, long nowNanos) {
        Backoff backoff = backoffs.get(upstream);
        return backoff != null && backoff.endNanos - nowNanos > 0;
    }

    /** Forgets upstreams that are no more. */
    public void retainAll(Set<String> upstreams) {
        backoffs.keySet().retainAll(upstreams);
    }

    /**
     * One suspicion.
     *
     * @param failures failures in a row
     * @param endNanos monotonic time until which the upstream is left alone
     */
    private record Backoff(int failures, long endNanos) {}
}
