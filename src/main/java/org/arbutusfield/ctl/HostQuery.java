package org.arbutusfield.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** Queries the admin ports of all hosts concurrently. */
final class HostQuery {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;
    private final List<InetSocketAddress> hosts;

    private HostQuery(HttpClient client, List<InetSocketAddress> hosts) {
        this.client = client;
        this.hosts = List.copyOf(hosts);
    }

    /** Creates a query to these admin addresses. */
    static HostQuery of(HttpClient client, List<InetSocketAddress> hosts) {
        return new HostQuery(client, hosts);
    }

    /** Returns the status of every host, in the order of the addresses. */
    List<HostStatus> statuses() {
        return query("/status").stream()
                .map(response -> response.body()
                        .map(body -> HostStatus.of(response.address(), body))
                        .orElseGet(() -> HostStatus.unreachable(response.address())))
                .toList();
    }

    /** Returns the JSON response of every host, in the order of the addresses. */
    List<Response> query(String target) {
        List<CompletableFuture<Response>> responses =
                hosts.stream().map(host -> query(host, target)).toList();
        return responses.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<Response> query(InetSocketAddress host, String target) {
        String address = host.getHostString() + ":" + host.getPort();
        return client.call(host, SimpleHttpRequest.of("GET", target), TIMEOUT)
                .thenApply(
                        result -> new Response(address, result.toJavaOptional().flatMap(HostQuery::body)));
    }

    private static Optional<JsonNode> body(SimpleHttpResponse response) {
        if (response.status() != 200) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readTree(response.body().bytes()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * The response of one host.
     *
     * @param address admin address of the host
     * @param body the JSON body; empty when the host did not respond with valid JSON in time
     */
    record Response(String address, Optional<JsonNode> body) {}
}
