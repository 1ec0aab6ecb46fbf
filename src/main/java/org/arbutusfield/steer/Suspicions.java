package org.arbutusfield.steer;

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
public final class Suspicions {
    private static final Duration FIRST = Duration.ofMillis(400);
    private static final Duration LONGEST = Duration.ofSeconds(3);
    private static final int DOUBLINGS = 3;

    private final Map<String, Suspicion> suspicions = new HashMap<>();

    private Suspicions() {}

    /** Nobody is suspected. */
    public static Suspicions create() {
        return new Suspicions();
    }

    /** A request failed at the upstream without an answer. */
    public void failed(String upstream, long nowNanos) {
        Suspicion before = suspicions.get(upstream);
        int failures = before == null ? 1 : before.failures + 1;
        long length = Math.min(LONGEST.toNanos(), FIRST.toNanos() << Math.min(failures - 1, DOUBLINGS));
        suspicions.put(upstream, new Suspicion(failures, nowNanos + length));
    }

    /** The upstream answered. */
    public void answered(String upstream) {
        suspicions.remove(upstream);
    }

    /** True while the upstream should get nothing. */
    public boolean suspected(String upstream, long nowNanos) {
        Suspicion suspicion = suspicions.get(upstream);
        return suspicion != null && suspicion.untilNanos - nowNanos > 0;
    }

    /** Forgets upstreams that are no more. */
    public void retain(Set<String> upstreams) {
        suspicions.keySet().retainAll(upstreams);
    }

    /**
     * One suspicion.
     *
     * @param failures failures in a row
     * @param untilNanos monotonic time until which the upstream is left alone
     */
    private record Suspicion(int failures, long untilNanos) {}
}
