package org.arbutusfield.proxy;

import java.time.Duration;

/**
 * Bounds on what one entry host takes from callers and waits for.
 *
 * @param callerConnections connections from callers
 * @param headBytes bytes of a request's header section
 * @param bodyBytes bytes of a request's body
 * @param replayBytes bytes of a request's body that are kept for a retry
 * @param hostReplayBytes bytes of request bodies kept on the whole host
 * @param hostPendingBytes answer bytes that wait for callers on the whole host before upstreams are read no further
 * @param headTimeout time from the first byte of a request's head to its last
 * @param bodyTimeout time in which a request's body must progress
 * @param idleTimeout time a caller's connection may wait for its next request
 * @param lingerTimeout time a closing connection waits for the caller to close
 * @param connectTimeout time to connect to an upstream
 * @param progressTimeout time without a byte after which an upstream connection counts as silent
 * @param writeTimeout time in which a caller must take some of its answer
 * @param nonRepeatableReuseLimit how long a connection may have been idle for a request that may not be repeated
 * @param attempts tries at one request, resumed downloads included
 */
public record ProxyLimits(
        int callerConnections,
        int headBytes,
        long bodyBytes,
        int replayBytes,
        long hostReplayBytes,
        long hostPendingBytes,
        Duration headTimeout,
        Duration bodyTimeout,
        Duration idleTimeout,
        Duration lingerTimeout,
        Duration connectTimeout,
        Duration progressTimeout,
        Duration writeTimeout,
        Duration nonRepeatableReuseLimit,
        int attempts) {

    /** The same limits with those that an operator sets for the host. */
    public ProxyLimits withHost(int connections, long pendingBytes) {
        return new ProxyLimits(
                connections,
                headBytes,
                bodyBytes,
                replayBytes,
                hostReplayBytes,
                pendingBytes,
                headTimeout,
                bodyTimeout,
                idleTimeout,
                lingerTimeout,
                connectTimeout,
                progressTimeout,
                writeTimeout,
                nonRepeatableReuseLimit,
                attempts);
    }

    /** Limits for a small host. */
    public static ProxyLimits standard() {
        return new ProxyLimits(
                8_000,
                16 << 10,
                1L << 30,
                64 << 10,
                32L << 20,
                64L << 20,
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(75),
                Duration.ofSeconds(2),
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofSeconds(30),
                Duration.ofSeconds(1),
                4);
    }
}
