package org.arbutusfield.lab.soak;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.TimerService;

/**
 * One instance of an upstream behind a fault proxy. It registers itself in the store and reports the requests that it
 * runs.
 */
final class SoakUpstream {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_SERVICE_MILLIS = 120;
    private static final Duration TIME_TO_CRASH = Duration.ofMillis(40);
    private static final String ENTRY_TEMPLATE =
            "{\"address\":\"%s\",\"details\":{\"service\":\"desk\",\"version\":\"v1\","
                    + "\"zone\":\"%s\",\"slots\":8},\"status\":{\"state\":\"%s\",\"sequence\":%d,\"cold_remaining\":\"0ms\"},\"born\":%d}";

    private final String id;
    private final String failureDomain;
    private final SoakChecker checker;
    private final KeyValueContent store;
    private final TimerService timer;
    private final Random random;
    private final long startMillis = System.currentTimeMillis();
    private final Consumer<SoakUpstream> crashListener;
    private HttpServer server;
    private FaultProxy proxy;
    private volatile boolean shedding;
    /** State in the entry; empty after it was removed. */
    private volatile String currentState = "";

    private int sequence;
    private volatile boolean crashed;

    private SoakUpstream(
            String id,
            String failureDomain,
            SoakChecker checker,
            KeyValueContent store,
            TimerService timer,
            Consumer<SoakUpstream> crashListener) {
        this.id = id;
        this.failureDomain = failureDomain;
        this.checker = checker;
        this.store = store;
        this.timer = timer;
        this.crashListener = crashListener;
        this.random = new Random(id.hashCode());
    }

    /**
     * Starts an instance.
     *
     * @param crashListener called when it has ended under a request; its entry stays in the store
     */
    static SoakUpstream start(
            String id,
            String failureDomain,
            SoakChecker checker,
            KeyValueContent store,
            TimerService timer,
            EventLoopGroup group,
            Consumer<SoakUpstream> crashListener) {
        SoakUpstream upstream = new SoakUpstream(id, failureDomain, checker, store, timer, crashListener);
        upstream.server = HttpServer.bind(group, ANY_PORT, MAX_BODY_BYTES, upstream::handle)
                .get();
        upstream.proxy = FaultProxy.start(group, upstream.server.address());
        upstream.register("ready");
        return upstream;
    }

    FaultProxy proxy() {
        return proxy;
    }

    void shedding(boolean sheds) {
        shedding = sheds;
    }

    /** Registers as draining. The limit within which no more requests may arrive counts from the store's response. */
    void drain() {
        register("draining");
        checker.recordDraining(id);
    }

    /** Removes the entry from the store and resets open and new connections. */
    void deregister() {
        currentState = "";
        store.remove(key());
        proxy.mode(LinkMode.RESET);
    }

    private String key() {
        return "servers/" + id;
    }

    /** Writes the current state again, after the store has returned from an older copy. */
    void writeAgain() {
        if (currentState.isEmpty()) {
            store.remove(key());
        } else if (!crashed) {
            register(currentState);
        }
    }

    private synchronized void register(String state) {
        currentState = state;
        sequence++;
        String entry = ENTRY_TEMPLATE.formatted(
                Addresses.format(proxy.address()), failureDomain, state, sequence, startMillis);
        store.put(key(), entry.getBytes(StandardCharsets.UTF_8), 0);
    }

    private synchronized void crash() {
        if (crashed) {
            return;
        }
        crashed = true;
        proxy.stopListening();
        proxy.mode(LinkMode.RESET);
        server.close();
        crashListener.accept(this);
    }

    private CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
        String requestId = request.header("x-request-id").orElse("");
        boolean addressedHere = request.header("x-expect-instance").orElse("").equals(id);
        if (!addressedHere) {
            return CompletableFuture.completedFuture(new SimpleHttpResponse(421, List.of(), Body.empty()));
        }
        checker.recordArrival(requestId, id);
        if (shedding) {
            return CompletableFuture.completedFuture(
                    new SimpleHttpResponse(503, List.of(Header.of("x-not-executed", "1")), Body.empty()));
        }
        checker.recordRun(requestId, id);
        if (request.path().startsWith(SoakRoutes.CRASHING_PREFIX)) {
            checker.recordCrashingRun(requestId, id);
            timer.after(TIME_TO_CRASH, this::crash);
            return new CompletableFuture<>();
        }
        SimpleHttpResponse response = new SimpleHttpResponse(
                200,
                List.of(Header.of("x-server-seal", "seal-" + id), Header.of("x-request-id", requestId)),
                Body.of(SoakChecker.responseBody(requestId)));
        CompletableFuture<SimpleHttpResponse> result = new CompletableFuture<>();
        int serviceMillis;
        synchronized (random) {
            serviceMillis = random.nextInt(MAX_SERVICE_MILLIS);
        }
        timer.after(Duration.ofMillis(serviceMillis), () -> result.complete(response));
        return result;
    }
}
