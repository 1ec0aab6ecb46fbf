package org.arbutusfield.lab.platform;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.edge.EdgeHost;
import org.arbutusfield.edge.EdgeSettings;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.platform.PlatformMain;
import org.arbutusfield.steering.SharedRetryBudget;
import org.arbutusfield.timer.SystemTimer;

/**
 * Starts an edge host with a stand-in store and upstream, sends it a few requests and exits, so that the JVM writes the
 * classes that a host loads into a class data sharing (CDS) archive. A process that starts from the archive needs a
 * fraction of the processor time.
 */
public final class ArchiveTraining {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int REQUESTS = 40;
    private static final String UPSTREAM_ENTRY = "{\"address\":\"%s\",\"details\":{\"service\":\"s\",\"version\":\"v\","
            + "\"zone\":\"d\",\"slots\":3},\"status\":{\"state\":\"ready\",\"cold_remaining\":\"0ms\"}}";
    private static final String ROUTES = "{\"version\":\"r1\",\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{\"host\":"
            + "\"h\",\"policy\":[{\"name\":\"r\",\"route_type\":\"idempotent\",\"target_latency\":\"1s\",\"priority\":1,"
            + "\"session_affinity\":true,\"match\":{\"prefix\":\"/\"},\"action\":{\"service\":\"s\",\"timeout\":\"2s\","
            + "\"attempts\":2}}]}],\"upstreams\":[{\"name\":\"s\",\"health_path\":\"/\",\"max_connections\":99}]}";

    private ArchiveTraining() {}

    /** Runs the training. It always exits with status 0, since hosts also start without an archive. */
    public static void main(String[] args) throws InterruptedException {
        EventLoopGroup group = new NioEventLoopGroup(1);
        KeyValueStandIn store =
                KeyValueStandIn.bind(group, ANY_PORT, SystemTimer.start()).get();
        HttpServer upstream = HttpServer.bind(
                        group, ANY_PORT, 1 << 16, request -> CompletableFuture.completedFuture(response()))
                .get();
        String entry = UPSTREAM_ENTRY.formatted(Addresses.format(upstream.address()));
        store.content().put("servers/u", entry.getBytes(StandardCharsets.UTF_8), 0);
        store.content().put("op/config", ROUTES.getBytes(StandardCharsets.UTF_8), 0);
        EdgeSettings settings = settings(group, store.address());
        EdgeHost host = PlatformMain.start(settings).get();
        HttpClient client = HttpClient.create(group, TIMEOUT);
        for (int i = 0; i < REQUESTS; i++) {
            sendRequests(client, settings, i);
            TimeUnit.MILLISECONDS.sleep(50);
        }
        host.stopGracefully();
        System.exit(0);
    }

    private static SimpleHttpResponse response() {
        return new SimpleHttpResponse(200, List.of(Header.of("x-server-seal", "s")), Body.of("answer"));
    }

    private static void sendRequests(HttpClient client, EdgeSettings settings, int requestNumber) {
        SimpleHttpRequest request = new SimpleHttpRequest(
                requestNumber % 2 == 0 ? "GET" : "POST",
                "/x",
                List.of(
                        Header.of("Host", "h"),
                        Header.of("X-Request-Id", "id-" + requestNumber),
                        Header.of("X-Affinity-Key", "" + requestNumber),
                        Header.of("X-Deadline-Ms", "1000")),
                Body.of("body"));
        client.call(settings.callerAddress(), request, TIMEOUT).join();
        client.call(settings.readyAddress(), SimpleHttpRequest.of("GET", "/ready"), TIMEOUT)
                .join();
        client.call(settings.lookupAddress(), SimpleHttpRequest.of("GET", "/resolve?region=g&zone=d"), TIMEOUT)
                .join();
    }

    private static EdgeSettings settings(EventLoopGroup group, InetSocketAddress store) {
        return new EdgeSettings(
                "host",
                "g",
                "d",
                freePort(group),
                freePort(group),
                freePort(group),
                freePort(group),
                freePort(group),
                store,
                Map.of("d", "g"),
                2_000,
                420,
                TIMEOUT,
                TIMEOUT,
                TIMEOUT,
                new SharedRetryBudget(0.2, Duration.ofSeconds(10), 100, 2));
    }

    private static InetSocketAddress freePort(EventLoopGroup group) {
        HttpServer probe = HttpServer.bind(group, ANY_PORT, 1, request -> new CompletableFuture<>())
                .get();
        InetSocketAddress address = probe.address();
        probe.close();
        return address;
    }
}
