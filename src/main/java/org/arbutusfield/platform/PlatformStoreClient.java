package org.arbutusfield.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.misc.DurationText;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.PageEnd;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;

/** Client of the platform's store. */
public final class PlatformStoreClient implements WatchableStore {
    private static final Logger LOG = LogManager.getLogger(PlatformStoreClient.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ERA_HEADER = "store-era";
    private static final Pattern ERA = Pattern.compile("[0-9]{1,18}");
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpClient client;
    private final InetSocketAddress address;
    private final Duration timeout;
    private final CallCounter counter;

    private PlatformStoreClient(HttpClient client, InetSocketAddress address, Duration timeout, CallCounter counter) {
        this.client = client;
        this.address = address;
        this.timeout = timeout;
        this.counter = counter;
    }

    /** Counts calls by kind and status. */
    @FunctionalInterface
    public interface CallCounter {
        /**
         * Counts one call.
         *
         * @param kind kind of the call
         * @param status HTTP status, or 0 when there was no response
         */
        void count(String kind, int status);
    }

    /**
     * Creates a client.
     *
     * @param client sends the requests
     * @param address address of the store
     * @param timeout timeout of each call; a watch may take its wait time in addition
     * @param counter counts the calls
     */
    public static PlatformStoreClient create(
            HttpClient client, InetSocketAddress address, Duration timeout, CallCounter counter) {
        return new PlatformStoreClient(client, address, timeout, counter);
    }

    @Override
    public CompletableFuture<Either<Failure, PageEnd>> list(String prefix, String after, ItemSink items) {
        String target = "/kv-range?prefix=" + encode(prefix) + (after.isEmpty() ? "" : "&after=" + encode(after));
        return read("list", target, items, timeout)
                .thenApply(r -> r.map(answer -> new PageEnd(answer.hasMore(), revision(answer))));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> watch(
            String prefix, StoreRevision after, Duration wait, ItemSink changes) {
        String target =
                "/kv-watch?prefix=" + encode(prefix) + "&after=" + after.number() + "&wait_ms=" + wait.toMillis();
        return read("watch", target, changes, timeout.plus(wait)).thenApply(r -> r.map(PlatformStoreClient::revision));
    }

    private CompletableFuture<Either<Failure, StoreAnswer>> read(
            String kind, String target, ItemSink items, Duration callTimeout) {
        return client.call(
                        address,
                        SimpleHttpRequest.of("GET", target),
                        () -> StoreAnswerReader.of(kind, items),
                        callTimeout)
                .thenApply(r -> {
                    counter.count(kind, r.map(StoreAnswer::status).getOrElse(0));
                    return r.mapLeft(this::readFailure)
                            .flatMap(answer -> checkStatus(answer.status()).map(status -> answer));
                });
    }

    private static StoreRevision revision(StoreAnswer answer) {
        return StoreRevision.of(era(answer.headers()), answer.at());
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long lease) {
        return change("put", putChange(key, value, lease));
    }

    @Override
    public CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
            String key, byte[] value, long lease, long expectedRevision) {
        ObjectNode change = putChange(key, value, lease);
        change.withArray("/expect").add(JSON.createObjectNode().put("key", key).put("revision", expectedRevision));
        return send("put", post("/kv-txn", change), timeout)
                .thenApply(r -> r.flatMap(response -> response.status() == CONDITION_FAILED
                        ? conflict(response)
                        : written(response).map(revision -> new ConditionalWrite(true, revision))));
    }

    private static ObjectNode putChange(String key, byte[] value, long lease) {
        ObjectNode entry = JSON.createObjectNode()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("lease", lease);
        ObjectNode change = emptyChange();
        change.withArray("/puts").add(entry);
        return change;
    }

    /** Reads which item made the condition fail; an item that isn't there is left out, or has revision 0. */
    private static Either<Failure, ConditionalWrite> conflict(SimpleHttpResponse response) {
        return json(response).map(node -> {
            long revision = node.path("items").path(0).path("revision").asLong(0);
            return new ConditionalWrite(false, StoreRevision.of(era(response), revision));
        });
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> remove(String key) {
        ObjectNode change = emptyChange();
        change.withArray("/remove").add(key);
        return change("remove", change);
    }

    private static ObjectNode emptyChange() {
        ObjectNode change = JSON.createObjectNode();
        change.putArray("expect");
        change.putArray("puts");
        change.putArray("remove");
        return change;
    }

    private CompletableFuture<Either<Failure, StoreRevision>> change(String kind, ObjectNode change) {
        return send(kind, post("/kv-txn", change), timeout).thenApply(r -> r.flatMap(PlatformStoreClient::written));
    }

    private static Either<Failure, StoreRevision> written(SimpleHttpResponse response) {
        return body(response)
                .flatMap(node -> number(node, "revision"))
                .map(number -> StoreRevision.of(era(response), number));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration) {
        ObjectNode body = JSON.createObjectNode().put("ttl_time", DurationText.formatMillis(duration));
        return send("lease", post("/kv-lease", body), timeout)
                .thenApply(r -> r.flatMap(response -> body(response)
                        .flatMap(node -> number(node, "lease"))
                        .map(id -> new StoreLease(id, era(response)))));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> renewLease(long lease) {
        return send("renew", SimpleHttpRequest.of("POST", "/kv-keep/" + lease), timeout)
                .thenApply(r -> r.flatMap(response -> body(response).map(node -> era(response))));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> endLease(long lease) {
        return send("end", SimpleHttpRequest.of("DELETE", "/kv-lease-end/" + lease), timeout)
                .thenApply(r -> r.flatMap(PlatformStoreClient::checkStatus).map(response -> lease));
    }

    private CompletableFuture<Either<Failure, SimpleHttpResponse>> send(
            String kind, SimpleHttpRequest request, Duration callTimeout) {
        return client.call(address, request, callTimeout).thenApply(r -> {
            counter.count(kind, r.map(SimpleHttpResponse::status).getOrElse(0));
            return r.mapLeft(this::storeFailure);
        });
    }

    /** The failure of a list or a watch: once the answer has begun, the same call may end in the same way again. */
    private Failure readFailure(Failure failure) {
        return switch (failure.code()) {
            case STORE_ANSWER_UNUSABLE -> failure;
            case PEER_INCOMPLETE -> Failure.of(ErrorCode.STORE_ANSWER_UNUSABLE, address.toString(), failure.detail());
            default -> storeFailure(failure);
        };
    }

    private Failure storeFailure(Failure failure) {
        return switch (failure.code()) {
            case PEER_UNREACHABLE -> Failure.of(ErrorCode.STORE_UNAVAILABLE, address.toString());
            case PEER_TIMEOUT -> Failure.of(ErrorCode.STORE_TIMEOUT, address.toString());
            default -> Failure.of(ErrorCode.STORE_PROTOCOL, address.toString(), failure.detail());
        };
    }

    private static Either<Failure, SimpleHttpResponse> checkStatus(SimpleHttpResponse response) {
        return checkStatus(response.status()).map(status -> response);
    }

    private static Either<Failure, Integer> checkStatus(int received) {
        String status = "status " + received;
        return switch (received) {
            case OK -> Either.right(received);
            case NOT_FOUND -> Either.left(Failure.of(ErrorCode.LEASE_LAPSED));
            case HISTORY_GONE -> Either.left(Failure.of(ErrorCode.STORE_HISTORY_GONE));
            case CONDITION_FAILED -> Either.left(Failure.of(ErrorCode.STORE_CONFLICT));
            case TOO_MANY_REQUESTS, UNAVAILABLE -> Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE, "", status));
            default -> Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, "", status));
        };
    }

    private static Either<Failure, JsonNode> body(SimpleHttpResponse response) {
        return checkStatus(response).flatMap(PlatformStoreClient::json);
    }

    private static Either<Failure, JsonNode> json(SimpleHttpResponse response) {
        try {
            return Either.right(JSON.readTree(response.body().bytes()));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, "", "response is not valid JSON"));
        }
    }

    /** Era in which the store responded. An unreadable one counts as not stated. */
    private static long era(SimpleHttpResponse response) {
        return era(response.headers());
    }

    private static long era(List<Header> headers) {
        Optional<String> text = Header.first(headers, ERA_HEADER);
        if (text.isPresent() && !ERA.matcher(text.get()).matches()) {
            LOG.warn("event=store_era_unreadable value={}", text.get());
            return StoreRevision.UNKNOWN_ERA;
        }
        return text.map(Long::parseLong).orElse(StoreRevision.UNKNOWN_ERA);
    }

    private static Either<Failure, Long> number(JsonNode node, String field) {
        return node.path(field).canConvertToLong() && node.path(field).isIntegralNumber()
                ? Either.right(node.path(field).asLong())
                : malformed(field);
    }

    private static <T> Either<Failure, T> malformed(String field) {
        return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, field, "missing or of the wrong type"));
    }

    private static SimpleHttpRequest post(String target, ObjectNode body) {
        return SimpleHttpRequest.of("POST", target, body.toString().getBytes(StandardCharsets.UTF_8))
                .withHeaders(Header.of("content-type", "application/json"));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
