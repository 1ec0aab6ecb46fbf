package org.arbutusfield.proxy;

import java.time.Duration;

/**
 * Limits on sizes, counts and waiting times of one proxy server.
 *
 * @param callerConnections maximum number of connections from callers
 * @param headBytes maximum bytes of a request's header section
 * @param bodyBytes maximum bytes of a request's body
 * @param replayBytes maximum bytes of a request's body that are kept for a retry
 * @param hostReplayBytes maximum bytes of request bodies buffered by all requests of the host
 * @param hostPendingBytes response bytes that may wait for callers on the whole host before reading from upstreams is
 *     paused
 * @param headTimeout maximum time from the first to the last byte of a request's head
 * @param bodyTimeout time within which a request's body must make progress
 * @param idleTimeout maximum time that a caller's connection may wait for its next request
 * @param lingerTimeout maximum time that a closing connection waits for the caller to close it
 * @param connectTimeout maximum time to connect to an upstream
 * @param progressTimeout time without a received byte after which an upstream connection counts as unresponsive
 * @param writeTimeout time within which a caller must read some of its response
 * @param nonRepeatableReuseLimit maximum time since the last byte received on an idle connection that is reused for a
 *     non-repeatable request
 * @param attempts maximum number of attempts for one request, including those that resume a download
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

    /** A copy with the limits that an operator sets for the host. */
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

    /** Default limits, suited to a small host. */
    public static ProxyLimits defaults() {
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
