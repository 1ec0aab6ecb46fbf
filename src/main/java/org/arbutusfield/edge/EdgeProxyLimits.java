package org.arbutusfield.edge;

import java.time.Duration;
import java.util.Optional;
import org.arbutusfield.proxy.ProxyLimits;
import org.arbutusfield.route.CallerLimits;

/** Limits of the proxy on an edge host, derived from the host's settings and the operator's limits on callers. */
final class EdgeProxyLimits {
    private static final int RESERVED_DESCRIPTORS = 200;
    private static final double CALLER_DESCRIPTOR_FRACTION = 0.6;
    private static final int REPLAY_BYTES_PER_REQUEST = 64 << 10;
    private static final long TOTAL_REPLAY_BYTES = 16L << 20;
    /** Together with the request bodies well below the direct memory of a host, which also holds what is being read. */
    private static final long TOTAL_PENDING_BYTES = 24L << 20;

    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Longer than any deadline, because an upstream's pause within a response is no reason to abort the response. */
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(30);
    /**
     * No reuse. Connections that were forgotten without a sign reset what is sent on them, and the outcome is unknown
     * then. A limit below the shortest time until that (320 ms) is not safe either: after a pause of this host, a
     * response that had long arrived counts as just received.
     */
    private static final Duration NON_REPEATABLE_REUSE_LIMIT = Duration.ZERO;

    private static final int MAX_ATTEMPTS = 4;
    private static final CallerLimits DEFAULT_CALLER_LIMITS =
            new CallerLimits(16 << 10, 64L << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private EdgeProxyLimits() {}

    /** Returns the limits; defaults replace the operator's limits before the first configuration. */
    static ProxyLimits of(EdgeSettings settings, Optional<CallerLimits> configured) {
        CallerLimits callers = configured.orElse(DEFAULT_CALLER_LIMITS);
        int connections = (int) ((settings.maxDescriptors() - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_FRACTION);
        return new ProxyLimits(
                connections,
                callers.maxHeadBytes(),
                callers.maxBodyBytes(),
                REPLAY_BYTES_PER_REQUEST,
                TOTAL_REPLAY_BYTES,
                TOTAL_PENDING_BYTES,
                callers.headTimeout(),
                BODY_TIMEOUT,
                callers.idleTimeout(),
                LINGER_TIMEOUT,
                CONNECT_TIMEOUT,
                PROGRESS_TIMEOUT,
                WRITE_TIMEOUT,
                NON_REPEATABLE_REUSE_LIMIT,
                MAX_ATTEMPTS);
    }
}
