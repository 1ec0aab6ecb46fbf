package org.arbutusfield.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.upstream.ConnectionPool;
import org.arbutusfield.proxy.upstream.ConnectionPools;

/** State shared by all requests of one proxy server. Thread-safe. */
final class ProxyContext {
    private final ProxyComponents components;
    private final ConnectionPools pools;
    /** Part of the limit on request bodies that the heads of requests may hold beside them, as a divisor. */
    private static final int HEAD_BUFFERS_DIVISOR = 4;

    private final BufferBudget requestBuffers;
    private final BufferBudget headBuffers;
    private final BufferBudget responseBuffers;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger callerConnections = new AtomicInteger();
    private final ResponseTimes responseTimes = ResponseTimes.create();
    private final ResponseTimes completionTimes = ResponseTimes.create();
    private final AtomicReference<Optional<HostStop>> stop = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Optional<InetAddress>> hostAddress = new AtomicReference<>(Optional.empty());
    private final AtomicInteger cutByStop = new AtomicInteger();

    private ProxyContext(ProxyComponents components, ConnectionPools pools) {
        this.components = components;
        this.pools = pools;
        requestBuffers = BufferBudget.of(components.limits().get().hostReplayBytes());
        headBuffers = BufferBudget.of(components.limits().get().hostReplayBytes() / HEAD_BUFFERS_DIVISOR);
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

    /** The pool of connections to another host, which come from the address by which that host knows this one. */
    ConnectionPool poolToHost(InetSocketAddress host) {
        return pools.pool(host, hostAddress.get());
    }

    /** Sets the IP address of the caller port. One that stands for all addresses isn't used as a source. */
    void bound(InetAddress address) {
        hostAddress.set(Optional.of(address).filter(bound -> !bound.isAnyLocalAddress()));
    }

    /** Budget for request bodies kept for a retry. */
    BufferBudget requestBuffers() {
        return requestBuffers;
    }

    /** Budget for the heads of requests in progress. */
    BufferBudget headBuffers() {
        return headBuffers;
    }

    /** Budget for response bytes that wait for callers. */
    BufferBudget responseBuffers() {
        return responseBuffers;
    }

    /** How long responses recently took to begin. */
    ResponseTimes responseTimes() {
        return responseTimes;
    }

    /** How long responses recently took to their last byte. */
    ResponseTimes completionTimes() {
        return completionTimes;
    }

    /** Requests accepted and not yet finished. */
    AtomicInteger inFlight() {
        return inFlight;
    }

    /** Open connections from callers. */
    AtomicInteger callerConnections() {
        return callerConnections;
    }

    /** The planned stop of the host, if it has begun. */
    Optional<HostStop> stop() {
        return stop.get();
    }

    /** Begins a stop; of several, the one that ends first holds. */
    void stop(HostStop begun) {
        stop.updateAndGet(known -> Optional.of(known.map(begun::earlier).orElse(begun)));
    }

    /** Requests that the stop has ended although they had been sent to an upstream. */
    AtomicInteger cutByStop() {
        return cutByStop;
    }

    /** Maximum number of connections from this host to the upstream; at least 1. */
    int connectionShare(Upstream upstream) {
        return components.connectionShare().applyAsInt(upstream);
    }
}
