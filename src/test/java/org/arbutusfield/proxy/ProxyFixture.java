package org.arbutusfield.proxy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.arbutusfield.lab.Fault;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.timer.SystemTimer;

/**
 * A proxy server in front of upstream stand-ins, over loopback sockets. Requests under {@code /book} are not
 * repeatable.
 */
final class ProxyFixture implements AutoCloseable {
    static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    static final long DEADLINE_MILLIS = 5_000;

    final EventLoopGroup group = new NioEventLoopGroup(2);
    final SystemTimer timer = SystemTimer.start();
    final List<UpstreamStandIn> upstreams = new ArrayList<>();
    final BlockingQueue<RequestRecord> records = new LinkedBlockingQueue<>();
    final Queue<AttemptOutcome> outcomes = new ConcurrentLinkedQueue<>();
    final AtomicInteger permitsHeld = new AtomicInteger();
    final Configuration configuration;
    final ProxyServer server;

    private ProxyFixture(int count, int connections, UnaryOperator<ProxyComponents> customise) {
        List<Entity> items =
                new ArrayList<>(List.of(new Region("gulf", 1), new FailureDomain("gulf-a", "gulf"), service()));
        for (int i = 0; i < count; i++) {
            UpstreamStandIn upstream = UpstreamStandIn.bind(group, ANY_PORT, "u" + i, 64, Duration.ZERO, timer)
                    .get();
            upstreams.add(upstream);
            items.add(new Upstream(
                    "u" + i, "desk", "gulf-a", "127.0.0.1", upstream.address().getPort(), 64, connections));
        }
        configuration = Configuration.of(1, "n1", items);
        ProxyComponents components =
                ProxyComponents.of("gulf", () -> configuration).withObserver(records::add);
        components = customise.apply(components.withPlacement(countingPermits(components.placement())));
        server = ProxyServer.bind(group, ANY_PORT, components).get();
    }

    static ProxyFixture of(int upstreams) {
        return new ProxyFixture(upstreams, 64, components -> components);
    }

    static ProxyFixture of(int upstreams, int connections, UnaryOperator<ProxyComponents> customise) {
        return new ProxyFixture(upstreams, connections, customise);
    }

    static Service service() {
        return new Service(
                "desk",
                1,
                1,
                0,
                List.of(
                        new RequestClass("book", List.of(), "/book", false, true, DEADLINE_MILLIS),
                        new RequestClass("read", List.of(), "", true, true, DEADLINE_MILLIS)),
                List.of());
    }

    /** A placement that chooses the upstream at a port of this machine for each request. */
    static Placement alwaysAt(int port) {
        Upstream upstream = new Upstream("at-" + port, "desk", "gulf-a", "127.0.0.1", port, 64, 64);
        return request -> CompletableFuture.completedFuture(
                Either.right(new PlacementTarget.UpstreamTarget(upstream, Permit.NONE)));
    }

    RawCaller caller() {
        return RawCaller.connect(server.address());
    }

    UpstreamStandIn upstream() {
        return upstreams.get(0);
    }

    /** Starts another upstream in place of the only one, which was closed. */
    void restartUpstream(int port) {
        InetSocketAddress address = new InetSocketAddress(ANY_PORT.getAddress(), port);
        upstreams.set(
                0,
                UpstreamStandIn.bind(group, address, "u0", 64, Duration.ZERO, timer)
                        .get());
    }

    /** Applies the fault to the first request that any upstream receives, and to no other. */
    void faultOnce(Fault fault) {
        AtomicInteger first = new AtomicInteger();
        upstreams.forEach(u -> u.injectFaults((request, n) -> first.getAndIncrement() == 0 ? fault : Fault.NONE));
    }

    int runs(String id) {
        return upstreams.stream().mapToInt(u -> u.runs(id)).sum();
    }

    RequestRecord nextRecord() throws InterruptedException {
        return records.poll(20, TimeUnit.SECONDS);
    }

    static String get(String target, String id) {
        return "GET " + target + " HTTP/1.1\r\nhost: x\r\nx-request-id: " + id + "\r\n\r\n";
    }

    static String post(String target, String id, String body) {
        return "POST " + target + " HTTP/1.1\r\nhost: x\r\nx-request-id: " + id + "\r\ncontent-length: " + body.length()
                + "\r\n\r\n" + body;
    }

    @Override
    public void close() {
        server.close();
        upstreams.forEach(UpstreamStandIn::close);
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Placement countingPermits(Placement inner) {
        return request -> inner.place(request)
                .thenApply(result -> result.map(target -> {
                    permitsHeld.incrementAndGet();
                    Permit permit = (outcome, nanos) -> {
                        permitsHeld.decrementAndGet();
                        outcomes.add(outcome);
                        target.permit().release(outcome, nanos);
                    };
                    return new PlacementTarget.UpstreamTarget(
                            ((PlacementTarget.UpstreamTarget) target).upstream(), permit);
                }));
    }
}
