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

/** Asks the admin ports of all hosts at once. */
final class HostQuery {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient caller;
    private final List<InetSocketAddress> hosts;

    private HostQuery(HttpClient caller, List<InetSocketAddress> hosts) {
        this.caller = caller;
        this.hosts = List.copyOf(hosts);
    }

    /** A query to these admin addresses. */
    static HostQuery of(HttpClient caller, List<InetSocketAddress> hosts) {
        return new HostQuery(caller, hosts);
    }

    /** The status of every host, in the order of the addresses. */
    List<HostStatus> statuses() {
        return ask("/status").stream()
                .map(reply -> reply.body()
                        .map(body -> HostStatus.of(reply.address(), body))
                        .orElseGet(() -> HostStatus.unreachable(reply.address())))
                .toList();
    }

    /** One JSON answer from every host, in the order of the addresses. */
    List<Reply> ask(String target) {
        List<CompletableFuture<Reply>> replies =
                hosts.stream().map(host -> ask(host, target)).toList();
        return replies.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<Reply> ask(InetSocketAddress host, String target) {
        String address = host.getHostString() + ":" + host.getPort();
        return caller.call(host, SimpleHttpRequest.of("GET", target), TIMEOUT)
                .thenApply(result -> new Reply(address, result.toJavaOptional().flatMap(HostQuery::body)));
    }

    private static Optional<JsonNode> body(SimpleHttpResponse answer) {
        if (answer.status() != 200) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readTree(answer.body().bytes()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * One host's answer.
     *
     * @param address admin address asked
     * @param body the JSON answer; empty when the host did not answer in time
     */
    record Reply(String address, Optional<JsonNode> body) {}
}
