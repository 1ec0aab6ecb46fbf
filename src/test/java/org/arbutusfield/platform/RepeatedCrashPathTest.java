package org.arbutusfield.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeSettings;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.timer.SystemTimer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Several whole hosts, with stand-ins for the platform's store and upstreams, over sockets. One caller sends a request
 * that ends each upstream that runs it again and again, to any host; others send harmless requests to the same service.
 */
class RepeatedCrashPathTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int HOSTS = 4;
    private static final int UPSTREAMS = 8;
    /** Ends of upstreams after which the request is known to end them. */
    private static final int CRASHES = 3;
    /** Time within which all hosts must know what one of them has seen. */
    private static final Duration KNOWN_EVERYWHERE = Duration.ofSeconds(3);

    private static final Duration OBSERVED = Duration.ofSeconds(4);
    private static final int TOLERATED_ARRIVALS = 3;
    private static final double SERVED_FRACTION = 0.98;
    private static final long PAUSE_NANOS = 20_000_000;

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final HttpClient client = HttpClient.create(group, Duration.ofSeconds(1));
    private final List<EdgeHost> hosts = new ArrayList<>();
    private final List<EdgeSettings> settings = new ArrayList<>();
    private final List<CrashingUpstream> upstreams = new ArrayList<>();
    private final Queue<Long> crashingArrivals = new ConcurrentLinkedQueue<>();
    private final Random random = new Random(1);
    private final AtomicInteger requests = new AtomicInteger();
    private final ExecutorService senders = Executors.newCachedThreadPool();
    private List<String> callers = List.of();
    private KeyValueStandIn store;

    @BeforeEach
    void start() {
        store = KeyValueStandIn.bind(group, ANY, timer).get();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(CrashingUpstream.start(
                    store.content(), timer, RepeatedCrashPathTest::crashes, this::recordArrival));
        }
        for (int i = 0; i < HOSTS; i++) {
            startHost();
        }
    }

    @AfterEach
    void stop() {
        senders.shutdown();
        hosts.forEach(EdgeHost::close);
        upstreams.forEach(CrashingUpstream::close);
        store.close();
        timer.close();
        group.shutdownGracefully();
    }

    private void startHost() {
        StartedHost started = StartedHost.start(group, "edge-" + hosts.size(), store.address());
        settings.add(started.settings());
        hosts.add(started.host());
    }

    private static boolean crashes(SimpleHttpRequest request) {
        return request.target().contains("crash");
    }

    private void recordArrival(SimpleHttpRequest request) {
        if (crashes(request)) {
            crashingArrivals.add(System.nanoTime());
        }
    }

    private void configure(String routeType) {
        String config = "{\"version\":\"r2\",\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{"
                + "\"host\":\"a.example\",\"policy\":[{\"name\":\"r\",\"route_type\":\"" + routeType + "\","
                + "\"target_latency\":\"600ms\",\"priority\":1,\"session_affinity\":true,\"match\":{\"prefix\":\"/p/\"},"
                + "\"action\":{\"service\":\"desk\",\"timeout\":\"2s\",\"attempts\":2,\"allowed_regions\":[]}}]}],"
                + "\"upstreams\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":660,"
                + "\"cold_start\":\"0s\",\"cold_per_s\":2.6}]}";
        store.content().put("op/config", config.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Sends a request to a host; the future tells its status. */
    private CompletableFuture<Integer> send(int host, String method, String path) {
        SimpleHttpRequest request = new SimpleHttpRequest(
                method,
                path,
                List.of(
                        Header.of("Host", "a.example"),
                        Header.of("X-Request-Id", "r" + requests.incrementAndGet()),
                        Header.of("X-Deadline-Ms", "2500"),
                        Header.of("X-Affinity-Key", Integer.toString(random.nextInt(20)))),
                method.equals("GET") ? Body.empty() : Body.of("{\"guests\":80}"));
        return client.call(settings.get(host).callerAddress(), request, TIMEOUT)
                .thenApply(result -> result.map(response -> response.status()).getOrElse(0));
    }

    /** Sends the crashing request from an address; its response is of no interest. */
    private void sendCrashing(int host, String method, String caller) {
        String body = method.equals("GET") ? "" : "{\"guests\":80}";
        String request = method + " /p/crash HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r"
                + requests.incrementAndGet() + "\r\nX-Deadline-Ms: 2500\r\nX-Affinity-Key: 3\r\nConnection: close\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        senders.execute(() -> {
            try (Socket socket = new Socket()) {
                socket.bind(new InetSocketAddress(caller, 0));
                socket.connect(settings.get(host).callerAddress());
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // A response that breaks off is one of the expected ones.
                requests.incrementAndGet();
            }
        });
    }

    private static void pause() {
        LockSupport.parkNanos(PAUSE_NANOS);
    }

    /** Sends the crashing request to any host, and harmless ones beside it, while the condition holds. */
    private List<CompletableFuture<Integer>> load(String method, BooleanSupplier condition) {
        List<CompletableFuture<Integer>> harmless = new ArrayList<>();
        for (int i = 0; condition.getAsBoolean(); i++) {
            if (i % 3 == 0) {
                sendCrashing(random.nextInt(hosts.size()), method, callers.get(random.nextInt(callers.size())));
            }
            harmless.add(send(random.nextInt(hosts.size()), method, "/p/" + i));
            pause();
        }
        return harmless;
    }

    private void awaitService(int host, String method) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (send(host, method, "/p/warm").join() != 200) {
            assertThat(System.nanoTime()).as("in time").isLessThan(end);
            pause();
        }
    }

    private static BooleanSupplier until(long nanos) {
        return () -> System.nanoTime() < nanos;
    }

    private long arrivalsSince(long nanos) {
        return crashingArrivals.stream().filter(time -> time > nanos).count();
    }

    /**
     * Guards against a request that ends every upstream that runs it, and is passed on to further ones whenever it
     * comes again, at any host, also at one that has started since.
     */
    @ParameterizedTest
    @CsvSource({
        "GET,  idempotent,     127.0.0.1",
        "POST, non_idempotent, 127.0.0.1",
        "GET,  idempotent,     127.0.0.1 127.0.0.2 127.0.0.3 127.0.0.4 127.0.0.5 127.0.0.6 127.0.0.7",
    })
    @Timeout(40)
    void requestThatEndsItsUpstreamsIsNotPassedOnForEver(String method, String routeType, String addresses) {
        callers = List.of(addresses.split(" "));
        configure(routeType);
        awaitService(0, method);
        long end = System.nanoTime() + TIMEOUT.toNanos();
        load(method, () -> crashingArrivals.size() < CRASHES && System.nanoTime() < end);
        long known = System.nanoTime() + KNOWN_EVERYWHERE.toNanos();
        load(method, until(known));
        startHost();
        long joined = System.nanoTime();
        while (send(HOSTS, method, "/p/warm").join() != 200 && System.nanoTime() - joined < TIMEOUT.toNanos()) {
            pause();
        }
        List<CompletableFuture<Integer>> harmless = load(method, until(System.nanoTime() + OBSERVED.toNanos()));
        long served = harmless.stream().filter(status -> status.join() == 200).count();
        assertThat(crashingArrivals.size()).as("it did reach upstreams").isGreaterThanOrEqualTo(CRASHES);
        assertThat(arrivalsSince(known)).as("arrivals once it is known").isLessThanOrEqualTo(TOLERATED_ARRIVALS);
        assertThat((double) served / harmless.size())
                .as("harmless requests served")
                .isGreaterThanOrEqualTo(SERVED_FRACTION);
    }
}
