package org.arbutusfield.proxy;

import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.upstream.ConnectionPools;

/** What all requests of one entry server share. Thread-safe. */
final class ProxyContext {
    private final ProxyComponents wiring;
    private final ConnectionPools pools;
    private final BufferBudget replay;
    private final BufferBudget pending;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean leaving;

    private ProxyContext(ProxyComponents wiring, ConnectionPools pools) {
        this.wiring = wiring;
        this.pools = pools;
        replay = BufferBudget.of(wiring.limits().get().hostReplayBytes());
        pending = BufferBudget.of(wiring.limits().get().hostPendingBytes());
    }

    static ProxyContext of(ProxyComponents wiring, ConnectionPools pools) {
        return new ProxyContext(wiring, pools);
    }

    ProxyComponents wiring() {
        return wiring;
    }

    ProxyLimits limits() {
        return wiring.limits().get();
    }

    ConnectionPools pools() {
        return pools;
    }

    /** Bytes of requests kept for another try. */
    BufferBudget replay() {
        return replay;
    }

    /** Bytes of answers that wait for callers. */
    BufferBudget pending() {
        return pending;
    }

    /** Requests taken and not yet finished. */
    AtomicInteger inFlight() {
        return inFlight;
    }

    /** Connections from callers. */
    AtomicInteger connections() {
        return connections;
    }

    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    /** How many connections this host may have to an upstream; at least 1. */
    int connectionShare(Upstream upstream) {
        return wiring.connectionShare().applyAsInt(upstream);
    }
}
