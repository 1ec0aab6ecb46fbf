package org.arbutusfield.platform;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeSettings;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.steering.SharedRetryBudget;

/**
 * A whole host in the failure domain {@code gulf-a} on free ports of loopback.
 *
 * @param settings its settings
 * @param host the host
 */
record StartedHost(EdgeSettings settings, EdgeHost host) {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int TRIES = 5;

    /** Starts a host. A port that another connection takes between its choice and the start is replaced. */
    static StartedHost start(EventLoopGroup group, String name, InetSocketAddress store) {
        for (int i = 0; i < TRIES; i++) {
            EdgeSettings settings = settings(group, name, store);
            Either<Failure, EdgeHost> started = PlatformMain.start(settings);
            if (started.isRight()) {
                return new StartedHost(settings, started.get());
            }
            if (started.getLeft().code() != ErrorCode.ADDRESS_IN_USE) {
                throw new IllegalStateException(started.getLeft().toString());
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static EdgeSettings settings(EventLoopGroup group, String name, InetSocketAddress store) {
        return new EdgeSettings(
                name,
                "gulf",
                "gulf-a",
                freeAddress(group),
                freeAddress(group),
                freeAddress(group),
                freeAddress(group),
                freeAddress(group),
                store,
                Map.of("gulf-a", "gulf"),
                2_000,
                420,
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                new SharedRetryBudget(0.2, Duration.ofSeconds(10), 112, 2),
                Optional.empty());
    }

    private static InetSocketAddress freeAddress(EventLoopGroup group) {
        HttpServer probe = HttpServer.bind(group, ANY, 1, request -> new CompletableFuture<>())
                .get();
        InetSocketAddress address = probe.address();
        probe.close();
        return address;
    }
}
