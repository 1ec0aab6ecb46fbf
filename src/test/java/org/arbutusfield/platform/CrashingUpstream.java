package org.arbutusfield.platform;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.TimerService;

/**
 * An upstream that ends, with its port and all its connections, soon after it begins to run certain requests. It starts
 * again under another name; its old entry stays in the store for a while, as that of any upstream that crashes.
 */
final class CrashingUpstream implements AutoCloseable {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration RUN_TIME = Duration.ofMillis(40);
    private static final Duration RESTART_TIME = Duration.ofMillis(600);
    private static final Duration ENTRY_STAYS = Duration.ofMillis(1500);
    private static final AtomicInteger STARTS = new AtomicInteger();

    private final KeyValueContent store;
    private final TimerService timer;
    private final Predicate<SimpleHttpRequest> crashes;
    private final Consumer<SimpleHttpRequest> arrivals;
    private EventLoopGroup group;
    private volatile boolean closed;

    private CrashingUpstream(
            KeyValueContent store,
            TimerService timer,
            Predicate<SimpleHttpRequest> crashes,
            Consumer<SimpleHttpRequest> arrivals) {
        this.store = store;
        this.timer = timer;
        this.crashes = crashes;
        this.arrivals = arrivals;
    }

    /**
     * Starts an upstream.
     *
     * @param store store in which it registers
     * @param timer delays its restarts
     * @param crashes selects the requests that end it
     * @param arrivals receives each request that it begins to run
     */
    static CrashingUpstream start(
            KeyValueContent store,
            TimerService timer,
            Predicate<SimpleHttpRequest> crashes,
            Consumer<SimpleHttpRequest> arrivals) {
        CrashingUpstream upstream = new CrashingUpstream(store, timer, crashes, arrivals);
        upstream.startAgain();
        return upstream;
    }

    @Override
    public void close() {
        closed = true;
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private synchronized void startAgain() {
        if (closed) {
            return;
        }
        EventLoopGroup started = new NioEventLoopGroup(1);
        String name = "i-" + STARTS.incrementAndGet();
        group = started;
        HttpServer server = HttpServer.bind(started, ANY, 1 << 20, request -> handle(request, started, name))
                .get();
        String entry = PlatformItemDecoderTest.SERVER
                .replace("10.128.0.9:8080", Addresses.format(server.address()))
                .replace("1500ms", "0ms");
        store.put("servers/" + name, entry.getBytes(StandardCharsets.UTF_8), 0);
    }

    private CompletableFuture<SimpleHttpResponse> handle(
            SimpleHttpRequest request, EventLoopGroup current, String name) {
        if (!request.header("x-expect-instance").orElse("").equals(name)) {
            return CompletableFuture.completedFuture(new SimpleHttpResponse(421, List.of(), Body.empty()));
        }
        arrivals.accept(request);
        CompletableFuture<SimpleHttpResponse> response = new CompletableFuture<>();
        if (crashes.test(request)) {
            timer.after(RUN_TIME, () -> end(current, name));
            return response;
        }
        SimpleHttpResponse success = new SimpleHttpResponse(
                200,
                List.of(
                        Header.of("x-server-seal", "s"),
                        Header.of("x-request-id", request.header("x-request-id").orElse(""))),
                Body.of("done"));
        timer.after(RUN_TIME, () -> response.complete(success));
        return response;
    }

    private synchronized void end(EventLoopGroup current, String name) {
        if (current.isShuttingDown()) {
            return;
        }
        current.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        timer.after(ENTRY_STAYS, () -> store.remove("servers/" + name));
        timer.after(RESTART_TIME, this::startAgain);
    }
}
