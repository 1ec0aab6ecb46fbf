package org.arbutusfield.proxy;

import java.time.Duration;

/** Limits of a host in tests, which differ from the defaults in one respect. */
final class TestLimits {
    private TestLimits() {}

    /** Limits on the bytes of bodies that are kept: of one request, and of all requests of the host. */
    static ProxyLimits withReplayBytes(int replayBytes, long hostReplayBytes) {
        return of(replayBytes, hostReplayBytes, ProxyLimits.defaults().progressTimeout(), defaultReuseLimit());
    }

    /** A limit on the silence of an upstream within its response. */
    static ProxyLimits withProgressTimeout(Duration progressTimeout) {
        ProxyLimits all = ProxyLimits.defaults();
        return of(all.replayBytes(), all.hostReplayBytes(), progressTimeout, defaultReuseLimit());
    }

    /** A limit on the time after which a connection isn't reused for a request that may not be repeated. */
    static ProxyLimits withNonRepeatableReuseLimit(Duration reuseLimit) {
        ProxyLimits all = ProxyLimits.defaults();
        return of(all.replayBytes(), all.hostReplayBytes(), all.progressTimeout(), reuseLimit);
    }

    private static Duration defaultReuseLimit() {
        return ProxyLimits.defaults().nonRepeatableReuseLimit();
    }

    private static ProxyLimits of(
            int replayBytes, long hostReplayBytes, Duration progressTimeout, Duration nonRepeatableReuseLimit) {
        ProxyLimits all = ProxyLimits.defaults();
        return new ProxyLimits(
                all.callerConnections(),
                all.headBytes(),
                all.bodyBytes(),
                replayBytes,
                hostReplayBytes,
                all.hostPendingBytes(),
                all.headTimeout(),
                all.bodyTimeout(),
                all.idleTimeout(),
                all.lingerTimeout(),
                all.connectTimeout(),
                progressTimeout,
                all.writeTimeout(),
                nonRepeatableReuseLimit,
                all.attempts());
    }
}
