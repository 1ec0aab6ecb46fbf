package org.arbutusfield.edge;

import java.time.Duration;
import java.util.Optional;
import org.arbutusfield.proxy.ProxyLimits;
import org.arbutusfield.route.CallerLimits;

/** The request path's limits on an edge host, from its settings and the operator's bounds on callers. */
final class EdgeLimits {
    private static final int RESERVED_DESCRIPTORS = 200;
    private static final double CALLERS_PART = 0.6;
    private static final int REPLAY_BYTES = 64 << 10;
    private static final long HOST_REPLAY_BYTES = 16L << 20;
    private static final long HOST_PENDING_BYTES = 32L << 20;
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration LINGER = Duration.ofSeconds(1);
    private static final Duration CONNECT = Duration.ofMillis(400);
    /** Longer than any deadline: an upstream's pause within an answer is no reason to break the answer off. */
    private static final Duration PROGRESS = Duration.ofSeconds(30);

    private static final Duration WRITE = Duration.ofSeconds(30);
    private static final Duration ONCE_REUSE = Duration.ZERO;
    private static final int ATTEMPTS = 4;
    private static final CallerLimits DEFAULT_CALLERS =
            new CallerLimits(16 << 10, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private EdgeLimits() {}

    /** The limits; defaults stand in for the operator's bounds before there are any. */
    static ProxyLimits of(EdgeSettings settings, Optional<CallerLimits> given) {
        CallerLimits callers = given.orElse(DEFAULT_CALLERS);
        int connections = (int) ((settings.maxDescriptors() - RESERVED_DESCRIPTORS) * CALLERS_PART);
        return new ProxyLimits(
                connections,
                callers.headBytes(),
                callers.bodyBytes(),
                REPLAY_BYTES,
                HOST_REPLAY_BYTES,
                HOST_PENDING_BYTES,
                callers.headTimeout(),
                BODY_TIMEOUT,
                callers.idleTimeout(),
                LINGER,
                CONNECT,
                PROGRESS,
                WRITE,
                ONCE_REUSE,
                ATTEMPTS);
    }
}
