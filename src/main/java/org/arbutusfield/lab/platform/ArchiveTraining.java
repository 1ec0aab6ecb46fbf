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
 * Starts an edge host on stand-ins, sends it a few requests and ends, so that the virtual machine can write the classes
 * that a host loads into an archive. A process that starts from the archive needs a fraction of the processor time.
 */
public final class ArchiveTraining {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final int REQUESTS = 40;
    private static final String ENTRY = "{\"address\":\"%s\",\"details\":{\"service\":\"s\",\"version\":\"v\","
            + "\"zone\":\"d\",\"slots\":3},\"status\":{\"state\":\"ready\",\"cold_remaining\":\"0ms\"}}";
    private static final String ROUTES = "{\"version\":\"r1\",\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{\"host\":"
            + "\"h\",\"policy\":[{\"name\":\"r\",\"route_type\":\"idempotent\",\"target_latency\":\"1s\",\"priority\":1,"
            + "\"session_affinity\":true,\"match\":{\"prefix\":\"/\"},\"action\":{\"service\":\"s\",\"timeout\":\"2s\","
            + "\"attempts\":2}}]}],\"upstreams\":[{\"name\":\"s\",\"health_path\":\"/\",\"max_connections\":99}]}";

    private ArchiveTraining() {}

    /** Runs the training; it always ends with status 0, since an archive is not needed to run. */
    public static void main(String[] args) throws InterruptedException {
        EventLoopGroup group = new NioEventLoopGroup(1);
        KeyValueStandIn store =
                KeyValueStandIn.bind(group, ANY, SystemTimer.start()).get();
        HttpServer upstream = HttpServer.bind(group, ANY, 1 << 16, call -> CompletableFuture.completedFuture(answer()))
                .get();
        String entry = ENTRY.formatted(Addresses.format(upstream.address()));
        store.content().put("servers/u", entry.getBytes(StandardCharsets.UTF_8), 0);
        store.content().put("op/config", ROUTES.getBytes(StandardCharsets.UTF_8), 0);
        EdgeSettings settings = settings(group, store.address());
        EdgeHost host = PlatformMain.start(settings).get();
        HttpClient caller = HttpClient.create(group, PATIENCE);
        for (int i = 0; i < REQUESTS; i++) {
            call(caller, settings, i);
            TimeUnit.MILLISECONDS.sleep(50);
        }
        host.stopGracefully();
        System.exit(0);
    }

    private static SimpleHttpResponse answer() {
        return new SimpleHttpResponse(200, List.of(Header.of("x-server-seal", "s")), Body.of("answer"));
    }

    private static void call(HttpClient caller, EdgeSettings settings, int number) {
        SimpleHttpRequest request = new SimpleHttpRequest(
                number % 2 == 0 ? "GET" : "POST",
                "/x",
                List.of(
                        Header.of("Host", "h"),
                        Header.of("X-Request-Id", "id-" + number),
                        Header.of("X-Affinity-Key", "" + number),
                        Header.of("X-Deadline-Ms", "1000")),
                Body.of("body"));
        caller.call(settings.callerAddress(), request, PATIENCE).join();
        caller.call(settings.readyAddress(), SimpleHttpRequest.of("GET", "/ready"), PATIENCE)
                .join();
        caller.call(settings.lookupAddress(), SimpleHttpRequest.of("GET", "/resolve?region=g&zone=d"), PATIENCE)
                .join();
    }

    private static EdgeSettings settings(EventLoopGroup group, InetSocketAddress store) {
        return new EdgeSettings(
                "host",
                "g",
                "d",
                free(group),
                free(group),
                free(group),
                free(group),
                free(group),
                store,
                Map.of("d", "g"),
                2_000,
                420,
                PATIENCE,
                PATIENCE,
                PATIENCE,
                new SharedRetryBudget(0.2, Duration.ofSeconds(10), 100, 2));
    }

    private static InetSocketAddress free(EventLoopGroup group) {
        HttpServer probe = HttpServer.bind(group, ANY, 1, call -> new CompletableFuture<>())
                .get();
        InetSocketAddress address = probe.address();
        probe.close();
        return address;
    }
}
