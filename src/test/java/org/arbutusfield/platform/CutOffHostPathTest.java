package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeSettings;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.lab.soak.FaultProxy;
import org.arbutusfield.lab.soak.LinkMode;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.SystemTimer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Whole hosts over sockets, of which some lose their links to all upstreams while callers, the store and the other
 * hosts reach them. Each host has a store of its own with the same hosts; in those of the hosts that are cut off, the
 * addresses of the upstreams are those of links that can be broken.
 */
class CutOffHostPathTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final int UPSTREAMS = 6;
    /** Time within which callers of a host that is cut off must be served again. */
    private static final Duration SERVED_AGAIN_WITHIN = Duration.ofSeconds(3);

    private static final Duration OBSERVED = Duration.ofSeconds(3);
    private static final double SERVED_FRACTION = 2.0 / 3;
    private static final long PAUSE_NANOS = 25_000_000;

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final HttpClient client = HttpClient.create(group, Duration.ofSeconds(1));
    private final List<Node> nodes = new ArrayList<>();
    private final List<HttpServer> upstreams = new ArrayList<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();

    /** A host with its own view of the store and its own links to the upstreams. */
    private static final class Node {
        private final KeyValueStandIn store;
        private final List<FaultProxy> links = new ArrayList<>();
        private EdgeSettings settings;
        private EdgeHost host;

        private Node(KeyValueStandIn store) {
            this.store = store;
        }
    }

    @AfterEach
    void stop() {
        nodes.forEach(node -> node.host.close());
        nodes.forEach(node -> node.store.close());
        upstreams.forEach(HttpServer::close);
        timer.close();
        group.shutdownGracefully();
    }

    private void start(int hosts, String routeType) {
        for (int i = 0; i < UPSTREAMS; i++) {
            String id = "i-" + i;
            upstreams.add(HttpServer.bind(group, ANY, 1 << 20, request -> respond(id, request))
                    .get());
        }
        for (int i = 0; i < hosts; i++) {
            startHost(routeType);
        }
        // Each host is known to all, as if they had one store.
        for (Node node : nodes) {
            for (Node other : nodes) {
                await(() -> !hostEntries(other).isEmpty());
                hostEntries(other).stream()
                        .filter(item -> item.lease() != 0)
                        .forEach(item -> node.store
                                .content()
                                .put(item.key(), item.value().bytes(), 0));
            }
        }
        for (int i = 0; i < hosts; i++) {
            int host = i;
            await(() -> send(host, "GET").join() == 200);
        }
    }

    private static List<KeyValueContent.Item> hostEntries(Node node) {
        return node.store.content().list("hosts/", "", 50);
    }

    private void startHost(String routeType) {
        Node node = new Node(KeyValueStandIn.bind(group, ANY, timer).get());
        configure(node, routeType);
        for (int i = 0; i < UPSTREAMS; i++) {
            FaultProxy link = FaultProxy.start(group, upstreams.get(i).address());
            node.links.add(link);
            String entry = PlatformItemDecoderTest.SERVER
                    .replace("10.128.0.9:8080", Addresses.format(link.address()))
                    .replace("1500ms", "0ms");
            node.store.content().put("servers/i-" + i, entry.getBytes(StandardCharsets.UTF_8), 0);
        }
        StartedHost started = StartedHost.start(group, "edge-" + nodes.size(), node.store.address());
        node.settings = started.settings();
        node.host = started.host();
        nodes.add(node);
    }

    private static void configure(Node node, String routeType) {
        String config = "{\"version\":\"r2\",\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{"
                + "\"host\":\"a.example\",\"policy\":[{\"name\":\"r\",\"route_type\":\"" + routeType + "\","
                + "\"target_latency\":\"600ms\",\"priority\":1,\"session_affinity\":true,\"match\":{\"prefix\":\"/p/\"},"
                + "\"action\":{\"service\":\"desk\",\"timeout\":\"2s\",\"attempts\":2,\"allowed_regions\":[]}}]}],"
                + "\"upstreams\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":660,"
                + "\"cold_start\":\"0s\",\"cold_per_s\":2.6}]}";
        node.store.content().put("op/config", config.getBytes(StandardCharsets.UTF_8), 0);
    }

    private CompletableFuture<SimpleHttpResponse> respond(String id, SimpleHttpRequest request) {
        if (!request.header("x-expect-instance").orElse("").equals(id)) {
            return CompletableFuture.completedFuture(new SimpleHttpResponse(421, List.of(), Body.empty()));
        }
        String requestId = request.header("x-request-id").orElse("");
        runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
        return CompletableFuture.completedFuture(new SimpleHttpResponse(
                200, List.of(Header.of("x-server-seal", "s"), Header.of("x-request-id", requestId)), Body.of("done")));
    }

    private CompletableFuture<Integer> send(int host, String method) {
        int number = requests.incrementAndGet();
        SimpleHttpRequest request = new SimpleHttpRequest(
                method,
                "/p/" + number,
                List.of(
                        Header.of("Host", "a.example"),
                        Header.of("X-Request-Id", "r" + number),
                        Header.of("X-Deadline-Ms", "2500"),
                        Header.of("X-Affinity-Key", Integer.toString(number % 20))),
                method.equals("GET") ? Body.empty() : Body.of("{\"guests\":80}"));
        return client.call(nodes.get(host).settings.callerAddress(), request, TIMEOUT)
                .thenApply(result -> result.map(SimpleHttpResponse::status).getOrElse(0));
    }

    private List<CompletableFuture<Integer>> load(int firstHosts, String method, Duration time) {
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        long end = System.nanoTime() + time.toNanos();
        for (int i = 0; System.nanoTime() < end; i++) {
            responses.add(send(i % firstHosts, method));
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        return responses;
    }

    private static double served(List<CompletableFuture<Integer>> responses) {
        return responses.stream().filter(status -> status.join() == 200).count() / (double) responses.size();
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(end);
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    /** The ways in which a host loses its links to the upstreams. */
    private static void cut(FaultProxy link, String way) {
        switch (way) {
            case "reset" -> link.mode(LinkMode.RESET);
            case "refused" -> link.stopListening();
            default -> {
                link.mode(LinkMode.RESET);
                link.stopListening();
            }
        }
    }

    /**
     * Guards against hosts that have lost their links to all upstreams and refuse their callers, although other hosts
     * could serve them; and against requests that run twice on the way.
     */
    @ParameterizedTest
    @CsvSource({
        "1, GET,  idempotent,     reset and refused",
        "1, POST, non_idempotent, reset and refused",
        "1, GET,  idempotent,     refused",
        "1, POST, non_idempotent, refused",
        "2, GET,  idempotent,     reset and refused",
        "1, GET,  idempotent,     reset",
    })
    @Timeout(40)
    void callersOfAHostThatIsCutOffAreServed(int cutOff, String method, String routeType, String way) {
        start(3, routeType);
        nodes.subList(0, cutOff).forEach(node -> node.links.forEach(link -> cut(link, way)));
        load(cutOff, method, SERVED_AGAIN_WITHIN);
        List<CompletableFuture<Integer>> observed = load(cutOff, method, OBSERVED);
        assertThat(served(observed)).isGreaterThanOrEqualTo(SERVED_FRACTION);
        if (method.equals("POST")) {
            assertThat(runs.values()).allMatch(count -> count.get() == 1);
        }
    }
}
