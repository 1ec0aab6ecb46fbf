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
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.DurationText;
import org.arbutusfield.timer.TimerService;

/** A server with the platform's published store protocol and with injectable faults. */
public final class KeyValueStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final int PAGE_ITEMS = 50;

    private final KeyValueContent content;
    private final TimerService timer;
    private final Map<String, AtomicInteger> calls = new ConcurrentHashMap<>();
    private volatile FaultMode faultMode = FaultMode.NONE;
    private HttpServer server;

    private KeyValueStandIn(KeyValueContent content, TimerService timer) {
        this.content = content;
        this.timer = timer;
    }

    /** A fault that applies to every call. */
    public enum FaultMode {
        /** No fault. */
        NONE,
        /** Calls have no effect and get no response. */
        SILENT,
        /** Calls are refused with 503. */
        UNAVAILABLE,
        /** Calls are refused with 429. */
        RATE_LIMITED,
        /** Calls take effect and get no response. */
        LOST_RESPONSES,
        /** Watches get no response; other calls work. */
        SILENT_WATCHES
    }

    /** Starts a store on the address. */
    public static Either<Failure, KeyValueStandIn> bind(
            EventLoopGroup group, InetSocketAddress address, TimerService timer) {
        KeyValueStandIn standIn = new KeyValueStandIn(KeyValueContent.create(timer), timer);
        return HttpServer.bind(group, address, MAX_BODY_BYTES, standIn::handle).map(bound -> {
            standIn.server = bound;
            return standIn;
        });
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** The content of the store. */
    public KeyValueContent content() {
        return content;
    }

    /** Sets the fault of all later calls. */
    public void faultMode(FaultMode next) {
        faultMode = next;
    }

    /** Returns the number of calls received for a path, such as {@code /kv-watch}. */
    public int callCount(String path) {
        return calls.getOrDefault(path, new AtomicInteger()).get();
    }

    @Override
    public void close() {
        server.close();
    }

    private CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
        String path = request.path();
        calls.computeIfAbsent(path, p -> new AtomicInteger()).incrementAndGet();
        FaultMode mode = faultMode;
        if (mode == FaultMode.SILENT || (mode == FaultMode.SILENT_WATCHES && path.equals("/kv-watch"))) {
            return new CompletableFuture<>();
        }
        if (mode == FaultMode.UNAVAILABLE || mode == FaultMode.RATE_LIMITED) {
            return CompletableFuture.completedFuture(
                    SimpleHttpResponse.text(mode == FaultMode.UNAVAILABLE ? 503 : 429, ""));
        }
        CompletableFuture<SimpleHttpResponse> response = respond(request, path);
        return mode == FaultMode.LOST_RESPONSES ? new CompletableFuture<>() : response.thenApply(this::withEra);
    }

    private SimpleHttpResponse withEra(SimpleHttpResponse response) {
        List<Header> headers = new ArrayList<>(response.headers());
        headers.add(Header.of("Store-Era", Long.toString(content.era())));
        return new SimpleHttpResponse(response.status(), headers, response.body());
    }

    private CompletableFuture<SimpleHttpResponse> respond(SimpleHttpRequest request, String path) {
        if (path.equals("/kv-watch")) {
            return watch(request);
        }
        return CompletableFuture.completedFuture(respondImmediately(request, path));
    }

    private SimpleHttpResponse respondImmediately(SimpleHttpRequest request, String path) {
        if (path.equals("/kv-range")) {
            return range(request);
        }
        if (path.equals("/kv-txn")) {
            return transaction(request);
        }
        if (path.equals("/kv-lease")) {
            return lease(request);
        }
        if (path.startsWith("/kv-keep/")) {
            boolean renewed = content.renewLease(trailingNumber(path));
            return renewed
                    ? SimpleHttpResponse.json(200, "{\"ttl_time\":\"3000ms\"}")
                    : SimpleHttpResponse.json(404, "{}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            return SimpleHttpResponse.json(content.endLease(trailingNumber(path)) ? 200 : 404, "{}");
        }
        return SimpleHttpResponse.json(404, "{}");
    }

    private SimpleHttpResponse range(SimpleHttpRequest request) {
        String after = request.queryParameter("after").orElse("");
        KeyValueContent.Page page =
                content.page(request.queryParameter("prefix").orElse(""), after, PAGE_ITEMS + 1);
        List<KeyValueContent.Item> items = page.items();
        ObjectNode body = JSON.createObjectNode();
        ArrayNode rows = body.putArray("items");
        items.stream().limit(PAGE_ITEMS).forEach(item -> rows.add(itemJson(item)));
        body.put("has_more", items.size() > PAGE_ITEMS).put("at", page.revision());
        return SimpleHttpResponse.json(200, body.toString());
    }

    private CompletableFuture<SimpleHttpResponse> watch(SimpleHttpRequest request) {
        String prefix = request.queryParameter("prefix").orElse("");
        long after = Long.parseLong(request.queryParameter("after").orElse("0"));
        Duration wait = Duration.ofMillis(
                Long.parseLong(request.queryParameter("wait_ms").orElse("0")));
        CompletableFuture<SimpleHttpResponse> response = new CompletableFuture<>();
        completeOnChange(prefix, after, response);
        timer.after(wait, () -> response.complete(eventsResponse(List.of(), after)));
        return response;
    }

    private void completeOnChange(String prefix, long after, CompletableFuture<SimpleHttpResponse> response) {
        if (response.isDone()) {
            return;
        }
        content.onNextChange(() -> completeOnChange(prefix, after, response));
        Optional<KeyValueContent.Changes> changes = content.changes(prefix, after);
        if (changes.isEmpty()) {
            response.complete(SimpleHttpResponse.json(410, "{}"));
        } else if (!changes.get().events().isEmpty()) {
            response.complete(
                    eventsResponse(changes.get().events(), changes.get().revision()));
        }
    }

    private static SimpleHttpResponse eventsResponse(List<KeyValueContent.Event> changes, long at) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode rows = body.putArray("events");
        for (KeyValueContent.Event event : changes) {
            rows.add(event.item()
                    .map(KeyValueStandIn::itemJson)
                    .orElseGet(() -> JSON.createObjectNode()
                            .put("key", event.key())
                            .put("revision", event.revision())
                            .put("deleted", true)));
        }
        return SimpleHttpResponse.json(200, body.put("at", at).toString());
    }

    private SimpleHttpResponse transaction(SimpleHttpRequest request) {
        JsonNode body = readBody(request);
        Optional<SimpleHttpResponse> conflict = conflict(body);
        if (conflict.isPresent()) {
            return conflict.get();
        }
        long revision = content.revision();
        for (JsonNode itemJson : body.path("puts")) {
            byte[] value = Base64.getDecoder().decode(itemJson.path("value").asText());
            Optional<Long> written = content.write(
                    itemJson.path("key").asText(), value, itemJson.path("lease").asLong());
            if (written.isEmpty()) {
                return SimpleHttpResponse.json(404, "{}");
            }
            revision = written.get();
        }
        body.path("remove").forEach(key -> content.remove(key.asText()));
        return SimpleHttpResponse.json(200, "{\"revision\":" + revision + "}");
    }

    /** Returns the answer to a change whose condition does not hold: the present state of the items it names. */
    private Optional<SimpleHttpResponse> conflict(JsonNode change) {
        ArrayNode present = JSON.createArrayNode();
        boolean failed = false;
        for (JsonNode expected : change.path("expect")) {
            String key = expected.path("key").asText();
            failed |= content.revisionOf(key) != expected.path("revision").asLong();
            content.list(key, "", 1).stream()
                    .filter(item -> item.key().equals(key))
                    .forEach(item -> present.add(itemJson(item)));
        }
        ObjectNode body = JSON.createObjectNode();
        body.set("items", present);
        return failed ? Optional.of(SimpleHttpResponse.json(412, body.toString())) : Optional.empty();
    }

    private SimpleHttpResponse lease(SimpleHttpRequest request) {
        String requestedTtl = readBody(request).path("ttl_time").asText();
        Duration ttl = DurationText.parse(requestedTtl).orElse(Duration.ofSeconds(1));
        return SimpleHttpResponse.json(
                200, "{\"lease\":" + content.grantLease(ttl) + ",\"ttl_time\":\"" + ttl.toMillis() + "ms\"}");
    }

    private static ObjectNode itemJson(KeyValueContent.Item item) {
        return JSON.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value().bytes()))
                .put("revision", item.revision())
                .put("created", item.createdRevision())
                .put("lease", item.lease());
    }

    private static JsonNode readBody(SimpleHttpRequest request) {
        try {
            return JSON.readTree(request.body().bytes());
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }

    private static long trailingNumber(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }
}
