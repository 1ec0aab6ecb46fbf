package org.arbutusfield.lab.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** Selects hosts from a cached look-up result, as callers do: which hosts to try, and in which order. */
final class HostSelector {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;
    private final LoadPlan plan;
    private final SplittableRandom random;
    private List<WeightedHost> entries = List.of();

    private HostSelector(HttpClient client, LoadPlan plan, SplittableRandom random) {
        this.client = client;
        this.plan = plan;
        this.random = random;
    }

    /** Creates a selector that knows only the seeds. */
    static HostSelector create(HttpClient client, LoadPlan plan, SplittableRandom random) {
        return new HostSelector(client, plan, random);
    }

    /** Fetches a new look-up result from the first host that returns one. */
    void refresh() {
        refresh(hostsToTry(), 0);
    }

    /** Returns the hosts in the order to try them: one chosen at random by weight, then the others as listed. */
    synchronized List<InetSocketAddress> hostsToTry() {
        List<InetSocketAddress> order = new ArrayList<>();
        double total = entries.stream().mapToDouble(WeightedHost::weight).sum();
        double draw = random.nextDouble() * total;
        for (WeightedHost entry : entries) {
            draw -= entry.weight();
            boolean chosen = draw < 0 && entry.weight() > 0;
            if (chosen) {
                draw = Double.MAX_VALUE;
                order.add(0, entry.address());
            } else {
                order.add(entry.address());
            }
        }
        return order.isEmpty() ? plan.seeds() : order;
    }

    private void refresh(List<InetSocketAddress> hosts, int index) {
        if (index == hosts.size()) {
            return;
        }
        SimpleHttpRequest request = SimpleHttpRequest.of("GET", "/-/lookup/" + plan.service());
        CompletableFuture<Void> done = client.call(hosts.get(index), request, TIMEOUT)
                .thenAccept(result -> {
                    if (result.isRight() && result.get().status() == 200) {
                        update(result.get());
                    } else {
                        refresh(hosts, index + 1);
                    }
                });
        done.exceptionally(error -> null);
    }

    private synchronized void update(SimpleHttpResponse response) {
        try {
            List<WeightedHost> next = new ArrayList<>();
            for (JsonNode host : JSON.readTree(response.body().bytes()).path("hosts")) {
                InetSocketAddress address = new InetSocketAddress(
                        host.path("host").asText(), host.path("port").asInt());
                next.add(new WeightedHost(address, host.path("weight").asDouble()));
            }
            entries = List.copyOf(next);
        } catch (IOException e) {
            throw new IllegalStateException("look-up response is not valid JSON", e);
        }
    }

    private record WeightedHost(InetSocketAddress address, double weight) {}
}
