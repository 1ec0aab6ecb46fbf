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
 * A {@link MemoryStore} that speaks the protocol of docs/protocols/store.md, for tests and demonstrations.
 *
 * <p>Scripts set its faults by {@code POST
 * /v1/lab/faults?kind=none|down|slow|lostBefore|lostAfter|watchSilent&millis=N} and read its counters by {@code GET
 * /v1/lab/counts}; both stay reachable while the store is down.
 */
public final class StoreStandIn implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final Duration UNANSWERED = Duration.ofDays(1);

    private final MemoryStore store;
    private HttpServer listener;

    private StoreStandIn(MemoryStore store) {
        this.store = store;
    }

    /** Starts a store on the address. */
    public static Either<Failure, StoreStandIn> bind(
            EventLoopGroup group, InetSocketAddress address, TimerService timer) {
        StoreStandIn standIn = new StoreStandIn(MemoryStore.create(timer, UNANSWERED));
        return HttpServer.bind(group, address, MAX_BODY_BYTES, standIn::handle).map(bound -> {
            standIn.listener = bound;
            return standIn;
        });
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** The content with its switches and counters. */
    public MemoryStore content() {
        return store;
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
        String[] parts = call.path().split("/", 4);
        if (parts.length < 4) {
            return refused(ErrorCode.PATH_UNKNOWN, call.path());
        }
        return switch (parts[2]) {
            case "values" -> value(parts[3], call);
            case "leases" -> lease(parts[3], call);
            case "lab" -> lab(parts[3], call);
            default -> refused(ErrorCode.PATH_UNKNOWN, call.path());
        };
    }

    private CompletableFuture<SimpleHttpResponse> value(String key, SimpleHttpRequest call) {
        if (call.method().equals("PUT")) {
            return store.compareAndSwap(
                            key, number(call, "expected", -1), call.body().bytes())
                    .thenApply(r -> r.fold(StoreStandIn::refusal, v -> versioned(v, Body.empty())));
        }
        long after = number(call, "after", -1);
        if (after < 0) {
            return store.read(key).thenApply(r -> r.fold(StoreStandIn::refusal, v -> found(v, 404)));
        }
        return store.watch(key, after, Duration.ofMillis(number(call, "waitMillis", 0)))
                .thenApply(r -> r.fold(StoreStandIn::refusal, v -> found(v, 204)));
    }

    private CompletableFuture<SimpleHttpResponse> lease(String key, SimpleHttpRequest call) {
        String holder = call.queryParameter("holder").orElse("");
        if (call.method().equals("POST")) {
            return store.acquireLease(key, holder, Duration.ofMillis(number(call, "lengthMillis", 0)))
                    .thenApply(r -> r.fold(
                            StoreStandIn::refusal, l -> SimpleHttpResponse.json(200, "{\"token\":" + l.token() + "}")));
        }
        return store.releaseLease(key, holder)
                .thenApply(r -> r.fold(StoreStandIn::refusal, held -> SimpleHttpResponse.json(held ? 200 : 409, "{}")));
    }

    private CompletableFuture<SimpleHttpResponse> lab(String path, SimpleHttpRequest call) {
        if (path.equals("counts")) {
            return CompletableFuture.completedFuture(
                    SimpleHttpResponse.text(200, store.counts().toString()));
        }
        Duration delay = Duration.ofMillis(number(call, "millis", 0));
        Optional<StoreFaults> faults = faults(call.queryParameter("kind").orElse(""), delay);
        if (!path.equals("faults") || faults.isEmpty()) {
            return refused(ErrorCode.PATH_UNKNOWN, call.target());
        }
        store.faults(faults.get());
        return CompletableFuture.completedFuture(SimpleHttpResponse.text(200, ""));
    }

    private static Optional<StoreFaults> faults(String kind, Duration delay) {
        return switch (kind) {
            case "none" -> Optional.of(StoreFaults.none());
            case "down" -> Optional.of(StoreFaults.always(StoreFault.down()));
            case "slow" -> Optional.of(StoreFaults.always(StoreFault.slow(delay)));
            case "lostBefore" -> Optional.of(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.lostBefore()));
            case "lostAfter" -> Optional.of(StoreFaults.on(StoreCall.Kind.WRITE, StoreFault.lostAfter()));
            case "watchSilent" -> Optional.of(StoreFaults.on(StoreCall.Kind.WATCH, StoreFault.lostBefore()));
            default -> Optional.empty();
        };
    }

    private static SimpleHttpResponse refusal(Failure failure) {
        return SimpleHttpResponse.problem(failure);
    }

    private static SimpleHttpResponse found(Optional<VersionedValue> value, int absentStatus) {
        return value.map(v -> versioned(v.version(), Body.of(v.value())))
                .orElseGet(() -> SimpleHttpResponse.text(absentStatus, ""));
    }

    private static SimpleHttpResponse versioned(long version, Body body) {
        return new SimpleHttpResponse(200, List.of(Header.of("x-version", Long.toString(version))), body);
    }

    private static long number(SimpleHttpRequest call, String parameter, long otherwise) {
        return call.queryParameter(parameter)
                .filter(v -> v.matches("\\d{1,18}"))
                .map(Long::parseLong)
                .orElse(otherwise);
    }

    private static CompletableFuture<SimpleHttpResponse> refused(ErrorCode code, String subject) {
        return CompletableFuture.completedFuture(SimpleHttpResponse.problem(Failure.of(code, subject)));
    }
}
