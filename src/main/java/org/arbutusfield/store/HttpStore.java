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

    private final HttpClient client;
    private final InetSocketAddress address;
    private final Duration timeout;

    private HttpStore(HttpClient client, InetSocketAddress address, Duration timeout) {
        this.client = client;
        this.address = address;
        this.timeout = timeout;
    }

    /**
     * Creates a client of the store at an address.
     *
     * @param client the HTTP client
     * @param address address of the store
     * @param timeout timeout of each call; for a watch it is added to the wait
     */
    public static HttpStore create(HttpClient client, InetSocketAddress address, Duration timeout) {
        return new HttpStore(client, address, timeout);
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
        SimpleHttpRequest request = SimpleHttpRequest.of("PUT", valuePath(key) + "?expected=" + expectedVersion, value);
        return send(request, timeout).thenApply(r -> r.flatMap(response -> toNewVersion(key, response)));
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
        SimpleHttpRequest request = SimpleHttpRequest.of(
                "POST", leasePath(key) + "?holder=" + encode(holder) + "&lengthMillis=" + duration.toMillis());
        return send(request, timeout).thenApply(r -> r.flatMap(response -> toLease(key, holder, duration, response)));
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder) {
        SimpleHttpRequest request = SimpleHttpRequest.of("DELETE", leasePath(key) + "?holder=" + encode(holder));
        return send(request, timeout).thenApply(r -> r.map(response -> response.status() == 200));
    }

    private CompletableFuture<Either<Failure, SimpleHttpResponse>> send(SimpleHttpRequest request, Duration limit) {
        return client.call(address, request, limit)
                .thenApply(r -> r.mapLeft(this::storeFailure).flatMap(HttpStore::rejectUnavailable));
    }

    private Failure storeFailure(Failure failure) {
        return switch (failure.code()) {
            case PEER_UNREACHABLE -> Failure.of(ErrorCode.STORE_UNAVAILABLE, address.toString());
            case PEER_TIMEOUT -> Failure.of(ErrorCode.STORE_TIMEOUT, address.toString());
            default -> Failure.of(ErrorCode.STORE_PROTOCOL, address.toString(), failure.detail());
        };
    }

    private static Either<Failure, SimpleHttpResponse> rejectUnavailable(SimpleHttpResponse response) {
        if (response.status() == SERVICE_UNAVAILABLE || response.status() == TOO_MANY_REQUESTS) {
            return Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE, "", "status " + response.status()));
        }
        if (response.status() >= INTERNAL_ERROR) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, "", "status " + response.status()));
        }
        return Either.right(response);
    }

    private static Either<Failure, Optional<VersionedValue>> toVersionedValue(SimpleHttpResponse response) {
        if (response.status() == 404 || response.status() == 204) {
            return Either.right(Optional.empty());
        }
        return toVersion(response)
                .map(v -> Optional.of(VersionedValue.of(v, response.body().bytes())));
    }

    private static Either<Failure, Long> toNewVersion(String key, SimpleHttpResponse response) {
        if (response.status() == 409) {
            return Either.left(Failure.of(ErrorCode.STORE_CONFLICT, key));
        }
        return toVersion(response);
    }

    private static Either<Failure, Long> toVersion(SimpleHttpResponse response) {
        Optional<String> text = response.header(VERSION_HEADER).filter(v -> v.matches("\\d{1,18}"));
        if (response.status() != 200 || text.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, "", "status " + response.status()));
        }
        return Either.right(Long.parseLong(text.get()));
    }

    private static Either<Failure, Lease> toLease(
            String key, String holder, Duration duration, SimpleHttpResponse response) {
        if (response.status() == 409) {
            return Either.left(Failure.of(ErrorCode.LEASE_HELD, key));
        }
        try {
            JsonNode node = JSON.readTree(response.body().bytes());
            if (response.status() == 200 && node.path("token").canConvertToLong()) {
                return Either.right(new Lease(key, holder, node.path("token").asLong(), duration));
            }
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, key, "lease response is not JSON"));
        }
        return Either.left(Failure.of(ErrorCode.STORE_PROTOCOL, key, "status " + response.status()));
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
