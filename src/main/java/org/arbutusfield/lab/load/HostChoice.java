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

/** A caller's cached look-up answer: which entry hosts to try, in which order. */
final class HostChoice {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient caller;
    private final LoadPlan plan;
    private final SplittableRandom random;
    private List<Entry> entries = List.of();

    private HostChoice(HttpClient caller, LoadPlan plan, SplittableRandom random) {
        this.caller = caller;
        this.plan = plan;
        this.random = random;
    }

    /** A choice that knows only the seeds. */
    static HostChoice create(HttpClient caller, LoadPlan plan, SplittableRandom random) {
        return new HostChoice(caller, plan, random);
    }

    /** Asks for a fresh look-up answer, from the first host that gives one. */
    void refresh() {
        refresh(order(), 0);
    }

    /** The hosts in the order to try them: one drawn by weight, then the others as listed. */
    synchronized List<InetSocketAddress> order() {
        List<InetSocketAddress> order = new ArrayList<>();
        double total = entries.stream().mapToDouble(Entry::weight).sum();
        double draw = random.nextDouble() * total;
        for (Entry entry : entries) {
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
        SimpleHttpRequest call = SimpleHttpRequest.of("GET", "/-/lookup/" + plan.service());
        CompletableFuture<Void> done = caller.call(hosts.get(index), call, TIMEOUT)
                .thenAccept(result -> {
                    if (result.isRight() && result.get().status() == 200) {
                        install(result.get());
                    } else {
                        refresh(hosts, index + 1);
                    }
                });
        done.exceptionally(error -> null);
    }

    private synchronized void install(SimpleHttpResponse answer) {
        try {
            List<Entry> next = new ArrayList<>();
            for (JsonNode host : JSON.readTree(answer.body().bytes()).path("hosts")) {
                InetSocketAddress address = new InetSocketAddress(
                        host.path("host").asText(), host.path("port").asInt());
                next.add(new Entry(address, host.path("weight").asDouble()));
            }
            entries = List.copyOf(next);
        } catch (IOException e) {
            throw new IllegalStateException("a look-up answer is JSON", e);
        }
    }

    private record Entry(InetSocketAddress address, double weight) {}
}
