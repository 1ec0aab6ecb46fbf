package org.arbutusfield.lab;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.http.Header;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.store.VersionedValue;
import org.arbutusfield.timer.TimerService;

/**
 * Serves a {@link MemoryStore} with the protocol of docs/protocols/store.md, for tests and demonstrations.
 *
 * <p>Scripts set its faults with {@code POST
 * /v1/lab/faults?kind=none|down|slow|lostBefore|lostAfter|watchSilent&millis=N} and read its counters with {@code GET
 * /v1/lab/counts}; both work even while the store is down.
 */
public final class StoreStandIn implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 2 << 20;
    /** Longer than clients wait, so that a lost call stays unanswered. */
    private static final Duration CALL_TIMEOUT = Duration.ofDays(1);

    private final MemoryStore store;
    private HttpServer server;

    private StoreStandIn(MemoryStore store) {
        this.store = store;
    }

    /** Starts a store on the address. */
    public static Either<Failure, StoreStandIn> bind(
            EventLoopGroup group, InetSocketAddress address, TimerService timer) {
        StoreStandIn standIn = new StoreStandIn(MemoryStore.create(timer, CALL_TIMEOUT));
        return HttpServer.bind(group, address, MAX_BODY_BYTES, standIn::handle).map(bound -> {
            standIn.server = bound;
            return standIn;
        });
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** The store behind this server. */
    public MemoryStore store() {
        return store;
    }

    @Override
    public void close() {
        server.close();
    }

    private CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
        String[] parts = request.path().split("/", 4);
        if (parts.length < 4) {
            return failed(ErrorCode.PATH_UNKNOWN, request.path());
        }
        return switch (parts[2]) {
            case "values" -> handleValue(parts[3], request);
            case "leases" -> handleLease(parts[3], request);
            case "lab" -> handleControl(parts[3], request);
            default -> failed(ErrorCode.PATH_UNKNOWN, request.path());
        };
    }

    private CompletableFuture<SimpleHttpResponse> handleValue(String key, SimpleHttpRequest request) {
        if (request.method().equals("PUT")) {
            return store.compareAndSwap(
                            key,
                            longParameter(request, "expected", -1),
                            request.body().bytes())
                    .thenApply(r -> r.fold(StoreStandIn::problemResponse, v -> versionResponse(v, Body.empty())));
        }
        long after = longParameter(request, "after", -1);
        if (after < 0) {
            return store.read(key).thenApply(r -> r.fold(StoreStandIn::problemResponse, v -> valueResponse(v, 404)));
        }
        return store.watch(key, after, Duration.ofMillis(longParameter(request, "waitMillis", 0)))
                .thenApply(r -> r.fold(StoreStandIn::problemResponse, v -> valueResponse(v, 204)));
    }

    private CompletableFuture<SimpleHttpResponse> handleLease(String key, SimpleHttpRequest request) {
        String holder = request.queryParameter("holder").orElse("");
        if (request.method().equals("POST")) {
            return store.acquireLease(key, holder, Duration.ofMillis(longParameter(request, "lengthMillis", 0)))
                    .thenApply(r -> r.fold(
                            StoreStandIn::problemResponse,
                            l -> SimpleHttpResponse.json(200, "{\"token\":" + l.token() + "}")));
        }
        return store.releaseLease(key, holder)
                .thenApply(r ->
                        r.fold(StoreStandIn::problemResponse, held -> SimpleHttpResponse.json(held ? 200 : 409, "{}")));
    }

    private CompletableFuture<SimpleHttpResponse> handleControl(String path, SimpleHttpRequest request) {
        if (path.equals("counts")) {
            return CompletableFuture.completedFuture(
                    SimpleHttpResponse.text(200, store.counts().toString()));
        }
        Duration delay = Duration.ofMillis(longParameter(request, "millis", 0));
        Optional<StoreFaults> faults =
                parseFaults(request.queryParameter("kind").orElse(""), delay);
        if (!path.equals("faults") || faults.isEmpty()) {
            return failed(ErrorCode.PATH_UNKNOWN, request.target());
        }
        store.injectFaults(faults.get());
        return CompletableFuture.completedFuture(SimpleHttpResponse.text(200, ""));
    }

    private static Optional<StoreFaults> parseFaults(String kind, Duration delay) {
        return switch (kind) {
            case "none" -> Optional.of(StoreFaults.none());
            case "down" -> Optional.of(StoreFaults.always(StoreFault.down()));
            case "slow" -> Optional.of(StoreFaults.always(StoreFault.slow(delay)));
            case "lostBefore" -> Optional.of(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.requestLost()));
            case "lostAfter" -> Optional.of(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.responseLost()));
            case "watchSilent" -> Optional.of(StoreFaults.on(StoreCall.Kind.WATCH, StoreFault.requestLost()));
            default -> Optional.empty();
        };
    }

    private static SimpleHttpResponse problemResponse(Failure failure) {
        return SimpleHttpResponse.problem(failure);
    }

    private static SimpleHttpResponse valueResponse(Optional<VersionedValue> value, int absentStatus) {
        return value.map(v -> versionResponse(v.version(), Body.of(v.value())))
                .orElseGet(() -> SimpleHttpResponse.text(absentStatus, ""));
    }

    private static SimpleHttpResponse versionResponse(long version, Body body) {
        return new SimpleHttpResponse(200, List.of(Header.of("x-version", Long.toString(version))), body);
    }

    private static long longParameter(SimpleHttpRequest request, String parameter, long defaultValue) {
        return request.queryParameter(parameter)
                .filter(v -> v.matches("\\d{1,18}"))
                .map(Long::parseLong)
                .orElse(defaultValue);
    }

    private static CompletableFuture<SimpleHttpResponse> failed(ErrorCode code, String subject) {
        return CompletableFuture.completedFuture(SimpleHttpResponse.problem(Failure.of(code, subject)));
    }
}
