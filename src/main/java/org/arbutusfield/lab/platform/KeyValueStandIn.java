package org.arbutusfield.lab.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.DurationText;
import org.arbutusfield.timer.TimerService;

/** A store that speaks the platform's published calls over a socket, with fault switches. */
public final class KeyValueStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final int PAGE_ITEMS = 50;

    private final KeyValueContent content;
    private final TimerService timer;
    private final Map<String, AtomicInteger> calls = new ConcurrentHashMap<>();
    private volatile StoreTrouble trouble = StoreTrouble.NONE;
    private HttpServer listener;

    private KeyValueStandIn(KeyValueContent content, TimerService timer) {
        this.content = content;
        this.timer = timer;
    }

    /** What goes wrong with every call. */
    public enum StoreTrouble {
        /** Nothing. */
        NONE,
        /** Calls get no answer, and nothing is done. */
        SILENT,
        /** Calls are refused with 503. */
        BUSY,
        /** Calls are refused with 429. */
        LIMITED,
        /** Calls are done and get no answer. */
        LOST_ANSWERS,
        /** Watches hear nothing, other calls work. */
        DEAF_WATCHES
    }

    /** Starts a store on the address. */
    public static Either<Failure, KeyValueStandIn> bind(
            EventLoopGroup group, InetSocketAddress address, TimerService timer) {
        KeyValueStandIn standIn = new KeyValueStandIn(KeyValueContent.create(timer), timer);
        return HttpServer.bind(group, address, MAX_BODY_BYTES, standIn::handle).map(bound -> {
            standIn.listener = bound;
            return standIn;
        });
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Its content. */
    public KeyValueContent content() {
        return content;
    }

    /** Switches the trouble. */
    public void trouble(StoreTrouble next) {
        trouble = next;
    }

    /** Calls received of a path, such as {@code /kv-watch}. */
    public int calls(String path) {
        return calls.getOrDefault(path, new AtomicInteger()).get();
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
        String path = call.path();
        calls.computeIfAbsent(path, p -> new AtomicInteger()).incrementAndGet();
        StoreTrouble now = trouble;
        if (now == StoreTrouble.SILENT || (now == StoreTrouble.DEAF_WATCHES && path.equals("/kv-watch"))) {
            return new CompletableFuture<>();
        }
        if (now == StoreTrouble.BUSY || now == StoreTrouble.LIMITED) {
            return CompletableFuture.completedFuture(SimpleHttpResponse.text(now == StoreTrouble.BUSY ? 503 : 429, ""));
        }
        CompletableFuture<SimpleHttpResponse> answer = answer(call, path);
        return now == StoreTrouble.LOST_ANSWERS ? new CompletableFuture<>() : answer;
    }

    private CompletableFuture<SimpleHttpResponse> answer(SimpleHttpRequest call, String path) {
        if (path.equals("/kv-watch")) {
            return watch(call);
        }
        return CompletableFuture.completedFuture(direct(call, path));
    }

    private SimpleHttpResponse direct(SimpleHttpRequest call, String path) {
        if (path.equals("/kv-range")) {
            return range(call);
        }
        if (path.equals("/kv-txn")) {
            return transaction(call);
        }
        if (path.equals("/kv-lease")) {
            return lease(call);
        }
        if (path.startsWith("/kv-keep/")) {
            boolean kept = content.renew(number(path));
            return kept
                    ? SimpleHttpResponse.json(200, "{\"ttl_time\":\"3000ms\"}")
                    : SimpleHttpResponse.json(404, "{}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            return SimpleHttpResponse.json(content.end(number(path)) ? 200 : 404, "{}");
        }
        return SimpleHttpResponse.json(404, "{}");
    }

    private SimpleHttpResponse range(SimpleHttpRequest call) {
        String after = call.queryParameter("after").orElse("");
        List<KeyValueContent.Item> items =
                content.list(call.queryParameter("prefix").orElse(""), after, PAGE_ITEMS + 1);
        ObjectNode body = JSON.createObjectNode();
        ArrayNode rows = body.putArray("items");
        items.stream().limit(PAGE_ITEMS).forEach(item -> rows.add(row(item)));
        body.put("has_more", items.size() > PAGE_ITEMS).put("at", content.revision());
        return SimpleHttpResponse.json(200, body.toString());
    }

    private CompletableFuture<SimpleHttpResponse> watch(SimpleHttpRequest call) {
        String prefix = call.queryParameter("prefix").orElse("");
        long after = Long.parseLong(call.queryParameter("after").orElse("0"));
        Duration wait =
                Duration.ofMillis(Long.parseLong(call.queryParameter("wait_ms").orElse("0")));
        CompletableFuture<SimpleHttpResponse> answer = new CompletableFuture<>();
        listen(prefix, after, answer);
        timer.after(wait, () -> answer.complete(events(List.of(), after)));
        return answer;
    }

    private void listen(String prefix, long after, CompletableFuture<SimpleHttpResponse> answer) {
        if (answer.isDone()) {
            return;
        }
        content.onChange(() -> listen(prefix, after, answer));
        Optional<List<KeyValueContent.Event>> changes = content.changes(prefix, after);
        if (changes.isEmpty()) {
            answer.complete(SimpleHttpResponse.json(410, "{}"));
        } else if (!changes.get().isEmpty()) {
            answer.complete(events(changes.get(), content.revision()));
        }
    }

    private static SimpleHttpResponse events(List<KeyValueContent.Event> changes, long at) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode rows = body.putArray("events");
        for (KeyValueContent.Event event : changes) {
            rows.add(event.item()
                    .map(KeyValueStandIn::row)
                    .orElseGet(() -> JSON.createObjectNode()
                            .put("key", event.key())
                            .put("revision", event.revision())
                            .put("deleted", true)));
        }
        return SimpleHttpResponse.json(200, body.put("at", at).toString());
    }

    private SimpleHttpResponse transaction(SimpleHttpRequest call) {
        JsonNode body = read(call);
        for (JsonNode row : body.path("puts")) {
            byte[] value = Base64.getDecoder().decode(row.path("value").asText());
            if (!content.put(row.path("key").asText(), value, row.path("lease").asLong())) {
                return SimpleHttpResponse.json(404, "{}");
            }
        }
        body.path("remove").forEach(key -> content.remove(key.asText()));
        return SimpleHttpResponse.json(200, "{\"revision\":" + content.revision() + "}");
    }

    private SimpleHttpResponse lease(SimpleHttpRequest call) {
        String asked = read(call).path("ttl_time").asText();
        Duration length = DurationText.parse(asked).orElse(Duration.ofSeconds(1));
        return SimpleHttpResponse.json(
                200, "{\"lease\":" + content.grant(length) + ",\"ttl_time\":\"" + length.toMillis() + "ms\"}");
    }

    private static ObjectNode row(KeyValueContent.Item item) {
        return JSON.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value().bytes()))
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static JsonNode read(SimpleHttpRequest call) {
        try {
            return JSON.readTree(call.body().bytes());
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }

    private static long number(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }
}
