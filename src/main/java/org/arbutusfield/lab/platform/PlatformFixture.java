package org.arbutusfield.lab.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.SystemTimer;

/**
 * The surroundings of an edge host on one machine: a stand-in store with routes and entries, upstreams, and a caller.
 * Service {@code sN} gets the requests whose path begins with {@code /N/}.
 */
final class PlatformFixture {
    /** Timeout of the caller. */
    static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final String UPSTREAM_ENTRY =
            "{\"address\":\"%s\",\"details\":{\"service\":\"s%d\",\"version\":\"v\","
                    + "\"zone\":\"d\",\"slots\":3},\"status\":{\"state\":\"%s\",\"cold_remaining\":\"0ms\",\"sequence\":1},"
                    + "\"born\":1}";
    private static final String ROUTE = "{\"name\":\"r%1$d\",\"route_type\":\"idempotent\",\"target_latency\":\"1s\","
            + "\"priority\":1,\"session_affinity\":true,\"match\":{\"prefix\":\"/%1$d/\"},\"action\":{\"service\":"
            + "\"s%1$d\",\"timeout\":\"2s\",\"attempts\":2}}";
    private static final String SERVICE = "{\"name\":\"s%d\",\"health_path\":\"/\",\"max_connections\":999}";
    private static final String ROUTES = "{\"version\":\"r%d\",\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":1000000,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[{\"host\":"
            + "\"h\",\"policy\":[%s]}],\"upstreams\":[%s]}";

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final HttpClient client = HttpClient.create(group, TIMEOUT);
    private final KeyValueStandIn store =
            KeyValueStandIn.bind(group, ANY_PORT, timer).get();

    private PlatformFixture() {}

    /** Starts the store and the caller. */
    static PlatformFixture start() {
        return new PlatformFixture();
    }

    /** The content of the store. */
    KeyValueContent content() {
        return store.content();
    }

    /** The timer of the upstreams. */
    SystemTimer timer() {
        return timer;
    }

    /** Writes a version of the routes to services 0 to {@code services - 1}. */
    void putRoutes(int version, int services) {
        List<String> routes = new ArrayList<>();
        List<String> policies = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            routes.add(ROUTE.formatted(i));
            policies.add(SERVICE.formatted(i));
        }
        put("op/config", ROUTES.formatted(version, String.join(",", routes), String.join(",", policies)));
    }

    /** Starts an upstream with a handler; returns its address. */
    InetSocketAddress startUpstream(HttpServer.Handler handler) {
        return HttpServer.bind(group, ANY_PORT, MAX_BODY_BYTES, handler).get().address();
    }

    /** Writes the entry of an upstream in the given state. */
    void putUpstream(String id, int service, InetSocketAddress address, String state) {
        put("servers/" + id, UPSTREAM_ENTRY.formatted(Addresses.format(address), service, state));
    }

    /** A complete response as upstreams send it. */
    static SimpleHttpResponse answer(SimpleHttpRequest request) {
        List<Header> headers = List.of(
                Header.of("x-server-seal", "s"),
                Header.of("x-server-load", "1,0,3"),
                Header.of("x-request-id", request.header("x-request-id").orElse("")));
        return new SimpleHttpResponse(200, headers, Body.of("answer"));
    }

    /** Sends a request for an object to a service; true if it was answered with success. */
    CompletableFuture<Boolean> send(HostAddresses host, String method, int service, int number, int object) {
        SimpleHttpRequest request = new SimpleHttpRequest(
                method,
                "/" + service + "/x",
                List.of(
                        Header.of("Host", "h"),
                        Header.of("X-Request-Id", "id-" + number),
                        Header.of("X-Affinity-Key", Integer.toString(object)),
                        Header.of("X-Deadline-Ms", "3000")),
                method.equals("GET") ? Body.empty() : Body.of("body"));
        return client.call(host.callers(), request, TIMEOUT)
                .thenApply(result ->
                        result.map(response -> response.status() == 200).getOrElse(false));
    }

    /** Sends a GET to another address of a host; true if it was answered with success. */
    CompletableFuture<Boolean> get(InetSocketAddress address, String target) {
        return client.call(address, SimpleHttpRequest.of("GET", target), TIMEOUT)
                .thenApply(result ->
                        result.map(response -> response.status() == 200).getOrElse(false));
    }

    /** Picks free addresses for a host. */
    HostAddresses freeAddresses() {
        return new HostAddresses(freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress());
    }

    /** Writes the settings file of a host. */
    Path writeSettings(Path directory, String name, double cores, HostAddresses addresses) throws IOException {
        ObjectNode settings = JSON.createObjectNode()
                .put("name", name)
                .put("region", "g")
                .put("failureDomain", "d")
                .put("callerAddress", Addresses.format(addresses.callers()))
                .put("readyAddress", Addresses.format(addresses.ready()))
                .put("lookupAddress", Addresses.format(addresses.lookup()))
                .put("controlAddress", Addresses.format(addresses.control()))
                .put("metricsAddress", Addresses.format(addresses.metrics()))
                .put("storeAddress", Addresses.format(store.address()))
                .put("maxDescriptors", 2_000)
                .put("processorShare", 1.0)
                .put("cores", cores)
                .put("lookupMaxAge", "5s")
                .put("stopLimit", "2s")
                .put("routesInForceWithin", "2s")
                .put("drainsInForceWithin", "2s")
                .put("retryRatio", 0.2)
                .put("retryWindow", "10s")
                .put("retrySlack", 100);
        settings.putObject("regions").put("d", "g");
        return Files.write(directory.resolve(name + ".json"), JSON.writeValueAsBytes(settings));
    }

    private void put(String key, String value) {
        store.content().put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private InetSocketAddress freeAddress() {
        HttpServer probe = HttpServer.bind(group, ANY_PORT, 1, request -> new CompletableFuture<>())
                .get();
        InetSocketAddress address = probe.address();
        probe.close();
        return address;
    }

    /**
     * The addresses that a host listens on.
     *
     * @param callers requests of callers
     * @param ready readiness
     * @param lookup look-ups
     * @param control messages of other hosts
     * @param metrics metrics
     */
    record HostAddresses(
            InetSocketAddress callers,
            InetSocketAddress ready,
            InetSocketAddress lookup,
            InetSocketAddress control,
            InetSocketAddress metrics) {}
}
