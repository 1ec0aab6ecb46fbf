package org.arbutusfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;

/** Store client for the HTTP protocol described in docs/protocols/store.md. */
public final class HttpStore implements Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String VERSION_HEADER = "x-version";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int INTERNAL_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient caller;
    private final InetSocketAddress address;
    private final Duration timeout;

    private HttpStore(HttpClient caller, InetSocketAddress address, Duration timeout) {
        this.caller = caller;
        this.address = address;
        this.timeout = timeout;
    }

    /**
     * Creates a client of the store at an address.
     *
     * @param caller the HTTP client
     * @param address address of the store
     * @param timeout timeout of each call; for a watch it is added to the wait
     */
    public static HttpStore create(HttpClient caller, InetSocketAddress address, Duration timeout) {
        return new HttpStore(caller, address, timeout);
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key) {
        return send(SimpleHttpRequest.of("GET", valuePath(key)), timeout)
                .thenApply(r -> r.flatMap(HttpStore::toVersionedValue));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, long expectedVersion, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            return CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.STORE_VALUE_TOO_LARGE, key)));
        }
        SimpleHttpRequest call = SimpleHttpRequest.of("PUT", valuePath(key) + "?expected=" + expectedVersion, value);
        return send(call, timeout).thenApply(r -> r.flatMap(answer -> toNewVersion(key, answer)));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(
            String key, long afterVersion, Duration wait) {
        String target = valuePath(key) + "?after=" + afterVersion + "&waitMillis=" + wait.toMillis();
        return send(SimpleHttpRequest.of("GET", target), timeout.plus(wait))
                .thenApply(r -> r.flatMap(HttpStore::toVersionedValue));
    }

    @Override
    public CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration duration) {
        SimpleHttpRequest call = SimpleHttpRequest.of(
                "POST", leasePath(key) + "?holder=" + encode(holder) + "&lengthMillis=" + duration.toMillis());
        return send(call, timeout).thenApply(r -> r.flatMap(answer -> toLease(key, holder, duration, answer)));
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder) {
        SimpleHttpRequest call = SimpleHttpRequest.of("DELETE", leasePath(key) + "?holder=" + encode(holder));
        return send(call, timeout).thenApply(r -> r.map(answer -> answer.status() == 200));
    }

    private CompletableFuture<Either<Failure, SimpleHttpResponse>> send(SimpleHttpRequest call, Duration limit) {
        return caller.call(address, call, limit)
                .thenApply(r -> r.mapLeft(this::storeFailure).flatMap(HttpStore::rejectUnavailable));
    }

    private Failure storeFailure(Failure failure) {
        return switch (failure.code()) {
            case PEER_UNREACHABLE -> Failure.of(ErrorCode.STORE_UNAVAILABLE, address.toString());
            case PEER_TIMEOUT -> Failure.of(ErrorCode.STORE_TIMEOUT, address.toString());
            default -> Failure.of(ErrorCode.STORE_PROTOCOL, address.toString(), failure.detail());
        };
    }

    private static Either<Failure, SimpleHttpResponse> rejectUnavailable(SimpleHttpResponse answer) {
        if (answer.status() == SERVICE_UNAVAILABLE || answer.status() == TOO_MANY_REQUESTS) {
            return Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE, "", "status " + answer.status()));
        }
        if (answer.status() >= INTERNAL_ERROR) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, "", "status " + answer.status()));
        }
        return Either.right(answer);
    }

    private static Either<Failure, Optional<VersionedValue>> toVersionedValue(SimpleHttpResponse answer) {
        if (answer.status() == 404 || answer.status() == 204) {
            return Either.right(Optional.empty());
        }
        return toVersion(answer)
                .map(v -> Optional.of(VersionedValue.of(v, answer.body().bytes())));
    }

    private static Either<Failure, Long> toNewVersion(String key, SimpleHttpResponse answer) {
        if (answer.status() == 409) {
            return Either.left(Failure.of(ErrorCode.STORE_CONFLICT, key));
        }
        return toVersion(answer);
    }

    private static Either<Failure, Long> toVersion(SimpleHttpResponse answer) {
        Optional<String> text = answer.header(VERSION_HEADER).filter(v -> v.matches("\\d{1,18}"));
        if (answer.status() != 200 || text.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, "", "status " + answer.status()));
        }
        return Either.right(Long.parseLong(text.get()));
    }

    private static Either<Failure, Lease> toLease(
            String key, String holder, Duration duration, SimpleHttpResponse answer) {
        if (answer.status() == 409) {
            return Either.left(Failure.of(ErrorCode.LEASE_HELD, key));
        }
        try {
            JsonNode node = JSON.readTree(answer.body().bytes());
            if (answer.status() == 200 && node.path("token").canConvertToLong()) {
                return Either.right(new Lease(key, holder, node.path("token").asLong(), duration));
            }
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, key, "lease response is not JSON"));
        }
        return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, key, "status " + answer.status()));
    }

    private static String valuePath(String key) {
        return "/v1/values/" + encode(key);
    }

    private static String leasePath(String key) {
        return "/v1/leases/" + encode(key);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
