package org.arbutusfield.proxy;

import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.upstream.ConnectionPools;

/** State shared by all requests of one proxy server. Thread-safe. */
final class ProxyContext {
    private final ProxyComponents components;
    private final ConnectionPools pools;
    private final BufferBudget requestBuffers;
    private final BufferBudget responseBuffers;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger callerConnections = new AtomicInteger();
    private final ResponseTimes responseTimes = ResponseTimes.create();
    private volatile boolean leaving;

    private ProxyContext(ProxyComponents components, ConnectionPools pools) {
        this.components = components;
        this.pools = pools;
        requestBuffers = BufferBudget.of(components.limits().get().hostReplayBytes());
        responseBuffers = BufferBudget.of(components.limits().get().hostPendingBytes());
    }

    static ProxyContext of(ProxyComponents components, ConnectionPools pools) {
        return new ProxyContext(components, pools);
    }

    ProxyComponents components() {
        return components;
    }

    ProxyLimits limits() {
        return components.limits().get();
    }

    ConnectionPools pools() {
        return pools;
    }

    /** Budget for request bodies kept for a retry. */
    BufferBudget requestBuffers() {
        return requestBuffers;
    }

    /** Budget for response bytes that wait for callers. */
    BufferBudget responseBuffers() {
        return responseBuffers;
    }

    /** How long responses recently took to begin. */
    ResponseTimes responseTimes() {
        return responseTimes;
    }

    /** Requests accepted and not yet finished. */
    AtomicInteger inFlight() {
        return inFlight;
    }

    /** Open connections from callers. */
    AtomicInteger callerConnections() {
        return callerConnections;
    }

    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    /** Maximum number of connections from this host to the upstream; at least 1. */
    int connectionShare(Upstream upstream) {
        return components.connectionShare().applyAsInt(upstream);
    }
}
