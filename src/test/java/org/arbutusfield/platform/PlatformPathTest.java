package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeSettings;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.lab.platform.KeyValueStandIn.FaultMode;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.SystemTimer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A whole host with stand-ins for the platform's store and servers, tested over sockets. */
class PlatformPathTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(8);

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final HttpClient client = HttpClient.create(group, Duration.ofSeconds(1));
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private KeyValueStandIn store;
    private EdgeHost host;
    private EdgeSettings settings;

    @BeforeEach
    void start() {
        store = KeyValueStandIn.bind(group, ANY, timer).get();
        StartedHost started = StartedHost.start(group, "edge-1", store.address());
        settings = started.settings();
        host = started.host();
    }

    @AfterEach
    void stop() {
        host.close();
        store.close();
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A server with the given behavior; by default it seals its responses and rejects requests for other instances. */
    private HttpServer server(String id, String behavior) {
        return HttpServer.bind(
                        group,
                        ANY,
                        1 << 20,
                        request -> CompletableFuture.completedFuture(respond(id, behavior, request)))
                .get();
    }

    private SimpleHttpResponse respond(String id, String behavior, SimpleHttpRequest request) {
        boolean addressedHere = request.header("x-expect-instance").orElse("").equals(id);
        if (!addressedHere || behavior.equals("misdirected")) {
            return new SimpleHttpResponse(421, List.of(), Body.empty());
        }
        if (behavior.equals("pausing")) {
            return new SimpleHttpResponse(
                    503, List.of(Header.of("x-not-executed", "1"), Header.of("Retry-After", "30")), Body.empty());
        }
        if (behavior.equals("shed")) {
            return new SimpleHttpResponse(503, List.of(Header.of("x-not-executed", "1")), Body.empty());
        }
        runs.computeIfAbsent(request.header("x-request-id").orElse(""), k -> new AtomicInteger())
                .incrementAndGet();
        List<Header> headers =
                switch (behavior) {
                    case "unproved" -> List.of();
                    case "leaving" -> List.of(Header.of("x-server-seal", "s"), Header.of("Server-Leaving", "1"));
                    case "limited" -> List.of(Header.of("x-server-seal", "s"), Header.of("Server-Limit", "0.01"));
                    default -> List.of(Header.of("x-server-seal", "s"));
                };
        return new SimpleHttpResponse(200, headers, Body.of(id + " " + request.target()));
    }

    private void registerServer(String id, InetSocketAddress address) {
        String entry = PlatformItemDecoderTest.SERVER
                .replace("10.128.0.9:8080", Addresses.format(address))
                .replace("1500ms", "0ms");
        store.content().put("servers/" + id, entry.getBytes(StandardCharsets.UTF_8), 0);
    }

    private void configure(int version, String routeType) {
        String config = "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{"
                + "\"host\":\"a.example\",\"policy\":[{\"name\":\"r\",\"route_type\":\"" + routeType + "\","
                + "\"target_latency\":\"600ms\",\"priority\":1,\"session_affinity\":true,\"match\":{\"prefix\":\"/p/\"},"
                + "\"action\":{\"service\":\"desk\",\"timeout\":\"2s\",\"attempts\":2,\"allowed_regions\":[]}}]}],"
                + "\"upstreams\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":660,"
                + "\"cold_start\":\"3s\",\"cold_per_s\":2.6}]}";
        store.content().put("op/config", config.getBytes(StandardCharsets.UTF_8), 0);
    }

    private SimpleHttpResponse request(String id, String path) {
        SimpleHttpRequest request = new SimpleHttpRequest(
                "GET",
                path,
                List.of(
                        Header.of("Host", "a.example"),
                        Header.of("X-Request-Id", id),
                        Header.of("X-Deadline-Ms", "3000"),
                        Header.of("X-Affinity-Key", "17")),
                Body.empty());
        return client.call(settings.callerAddress(), request, TIMEOUT).join().get();
    }

    private SimpleHttpResponse get(InetSocketAddress address, String target) {
        Either<Failure, SimpleHttpResponse> response = client.call(
                        address, SimpleHttpRequest.of("GET", target), TIMEOUT)
                .join();
        return response.get();
    }

    private static void eventually(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(end);
            Thread.onSpinWait();
        }
    }

    @Test
    void hostWithoutConfigurationIsNotReadyAndRefusesRequests() {
        assertThat(get(settings.readyAddress(), "/ready").status()).isEqualTo(503);
        SimpleHttpResponse response = request("1", "/p/x");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.header("retry-after")).isPresent();
    }

    @Test
    void requestReachesTheServerOfItsRoute() {
        configure(4, "idempotent");
        registerServer("i-1", server("i-1", "answer").address());
        eventually(() -> request("1", "/p/x?q=1").status() == 200);
        SimpleHttpResponse response = request("2", "/p/x?q=1");
        assertThat(response.text()).isEqualTo("i-1 /p/x?q=1");
        assertThat(response.header("x-server-seal")).contains("s");
        assertThat(request("3", "/other/x").status()).isEqualTo(404);
        assertThat(get(settings.readyAddress(), "/ready").status()).isEqualTo(200);
    }

    @Test
    void lookupsReturnTheHost() {
        eventually(() -> get(settings.lookupAddress(), "/resolve?name=a&region=gulf&zone=gulf-a")
                        .status()
                == 200);
        SimpleHttpResponse response = get(settings.lookupAddress(), "/resolve?name=a&region=gulf&zone=gulf-a");
        assertThat(response.text())
                .contains(Addresses.format(settings.callerAddress()))
                .contains("\"ttl\":\"2000ms\"");
        assertThat(get(settings.lookupAddress(), "/resolve?name=a").status()).isEqualTo(400);
    }

    /** Status and number of runs of a request when one of two servers fails in the given way. */
    @ParameterizedTest
    @CsvSource({
        "shed,        idempotent,     200, 1",
        "shed,        non_idempotent, 200, 1",
        "misdirected, non_idempotent, 200, 1",
        "unproved,    idempotent,     200, 2",
        "unproved,    non_idempotent, 502, 1",
    })
    void requestSurvivesOneFailingServer(String behavior, String routeType, int status, int maxRuns) {
        registerServer("i-1", server("i-1", behavior).address());
        registerServer("i-2", server("i-2", "answer").address());
        // Written last, so that a host that has the routes also knows both servers.
        configure(4, routeType);
        eventually(() -> request("warm", "/p/x").status() != 503);
        for (int i = 0; i < 5; i++) {
            String id = "r" + i;
            SimpleHttpResponse response = request(id, "/p/x" + i);
            assertThat(response.status()).isIn(200, status);
            assertThat(runs.get(id).get()).isBetween(1, maxRuns);
        }
    }

    /** When no server can run the request, the caller gets a refusal with a retry-after time at once. */
    @Test
    void requestShedByAllServersIsRefusedWithRetryAfter() {
        configure(4, "non_idempotent");
        registerServer("i-1", server("i-1", "shed").address());
        registerServer("i-2", server("i-2", "shed").address());
        eventually(() -> request("warm", "/p/x").header("x-error-code").equals(Optional.of("UPSTREAM_SHED")));
        SimpleHttpResponse response = request("1", "/p/x");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.header("retry-after")).isPresent();
        assertThat(runs).doesNotContainKey("1");
    }

    /** A server that begins to shed requests must not get the same request again on its pooled connection. */
    @Test
    void requestShedOnAPooledConnectionMovesToAnotherServer() {
        configure(4, "idempotent");
        AtomicReference<String> behavior = new AtomicReference<>("answer");
        AtomicInteger arrivals = new AtomicInteger();
        HttpServer first = HttpServer.bind(group, ANY, 1 << 20, request -> {
                    arrivals.incrementAndGet();
                    return CompletableFuture.completedFuture(respond("i-1", behavior.get(), request));
                })
                .get();
        registerServer("i-1", first.address());
        eventually(() -> request("warm", "/p/x").status() == 200);
        registerServerAndAwaitItsUse("i-2", server("i-2", "answer").address());
        behavior.set("shed");
        int before = arrivals.get();
        assertThat(request("1", "/p/x").text()).startsWith("i-2");
        assertThat(arrivals.get() - before).isEqualTo(1);
    }

    /** The state stays in force through each fault of the store, and a change made meanwhile is applied afterwards. */
    @ParameterizedTest
    @CsvSource({"SILENT", "UNAVAILABLE", "RATE_LIMITED", "LOST_RESPONSES", "SILENT_WATCHES"})
    void stateStaysInForceThroughAStoreFault(FaultMode faultMode) throws InterruptedException {
        configure(4, "idempotent");
        registerServer("i-1", server("i-1", "answer").address());
        eventually(() -> request("1", "/p/x").status() == 200);
        store.faultMode(faultMode);
        registerServer("i-2", server("i-2", "answer").address());
        store.content().remove("servers/i-1");
        store.content().compact();
        Thread.sleep(200);
        assertThat(request("2", "/p/x").status()).isEqualTo(200);
        store.faultMode(FaultMode.NONE);
        eventually(() -> request("3", "/p/x").text().startsWith("i-2"));
    }

    @Test
    void stoppedHostDeregistersAndStopsWithinTheLimit() {
        eventually(() -> !store.content().list("hosts/", "", 10).isEmpty());
        long start = System.nanoTime();
        host.stopGracefully();
        assertThat(store.content().list("hosts/", "", 10)).isEmpty();
        assertThat(System.nanoTime() - start).isLessThan(settings.stopLimit().toNanos());
    }

    /**
     * An upstream says in its answer that it leaves, or asks for a pause in a refusal. The answer is passed on whole,
     * and the upstream gets no further request, although the store lists it as ready.
     */
    @ParameterizedTest
    @CsvSource({"leaving", "pausing"})
    void upstreamThatWantsNoRequestsGetsNoMore(String behavior) {
        assertThat(arrivalsAtHomeBesideAnotherUpstream(behavior)).isEqualTo(1);
    }

    /** Guards against an upstream in need that names a limit in its response and goes on getting its usual load. */
    @Test
    void upstreamThatNamesALimitGetsNoMoreThanItsRate() {
        assertThat(arrivalsAtHomeBesideAnotherUpstream("limited")).isEqualTo(1);
    }

    /** Registers a server. Returns when the host has applied a watch that began after the entry was written. */
    private void registerServerAndAwaitItsUse(String id, InetSocketAddress address) {
        registerServer(id, address);
        int watchesBefore = store.callCount("/kv-watch");
        // A watch is applied before the next one begins, so the second one from here tells that the first is in force.
        eventually(() -> store.callCount("/kv-watch") >= watchesBefore + 2);
    }

    /** Requests that reach the home of an object in all, although another upstream could serve all but the first. */
    private int arrivalsAtHomeBesideAnotherUpstream(String behavior) {
        AtomicInteger arrivals = new AtomicInteger();
        HttpServer first = HttpServer.bind(group, ANY, 1 << 20, request -> {
                    arrivals.incrementAndGet();
                    return CompletableFuture.completedFuture(respond("i-1", behavior, request));
                })
                .get();
        registerServer("i-1", first.address());
        configure(4, "idempotent");
        eventually(() -> {
            request("warm", "/p/x");
            return arrivals.get() > 0;
        });
        registerServer("i-2", server("i-2", "answer").address());
        eventually(() -> request("2", "/p/x").text().startsWith("i-2"));
        for (int i = 0; i < 10; i++) {
            assertThat(request("r" + i, "/p/x" + i).text()).startsWith("i-2");
        }
        return arrivals.get();
    }

    /** The store returns from a copy that is older than the change of routes and the drain of a server. */
    @Test
    void stateStaysInForceThroughARollBackOfTheStore() {
        configure(4, "idempotent");
        registerServer("i-1", server("i-1", "answer").address());
        registerServer("i-2", server("i-2", "answer").address());
        eventually(() -> request("1", "/p/x").status() == 200);
        KeyValueContent.Copy copy = store.content().copy();
        long copied = store.content().revision();
        configure(5, "idempotent");
        String draining = PlatformItemDecoderTest.SERVER
                .replace("1500ms", "0ms")
                .replace("\"ready\"", "\"draining\"")
                .replace("\"sequence\":", "\"sequence\":9");
        store.content().put("servers/i-1", draining.getBytes(StandardCharsets.UTF_8), 0);
        eventually(() -> request("2", "/p/x").text().startsWith("i-2"));
        int listings = store.callCount("/kv-range");
        store.content().rollBack(copy);
        eventually(() -> store.callCount("/kv-range") > listings);
        for (int i = 0; i < 10; i++) {
            assertThat(request("r" + i, "/p/x" + i).text()).startsWith("i-2");
        }
        // The host writes its entry again: its revision is later than all of the copy.
        eventually(() -> store.content().list("hosts/", "", 10).stream().anyMatch(item -> item.revision() > copied));
    }
}
