package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.http.SimpleHttpResponse;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;

/** Answers whether the host is ready, which hosts callers should use, and what the metrics are. */
final class EdgeEndpoints {
    private static final Duration MAX_LOOKUP_AGE = Duration.ofSeconds(2);

    private final EdgeProtocol protocol;
    private final Supplier<SteeringState> state;
    private final BooleanSupplier ready;
    private final Supplier<EdgeSettings> settings;
    private final Supplier<String> metrics;

    private EdgeEndpoints(
            EdgeProtocol protocol,
            Supplier<SteeringState> state,
            BooleanSupplier ready,
            Supplier<EdgeSettings> settings,
            Supplier<String> metrics) {
        this.protocol = protocol;
        this.state = state;
        this.ready = ready;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** A desk that answers from these. */
    static EdgeEndpoints of(
            EdgeProtocol protocol,
            Supplier<SteeringState> state,
            BooleanSupplier ready,
            Supplier<EdgeSettings> settings,
            Supplier<String> metrics) {
        return new EdgeEndpoints(protocol, state, ready, settings, metrics);
    }

    CompletableFuture<SimpleHttpResponse> ready(SimpleHttpRequest call) {
        return answerAt(call, protocol.readyPath(), this::readiness);
    }

    CompletableFuture<SimpleHttpResponse> lookup(SimpleHttpRequest call) {
        return answerAt(call, protocol.lookupPath(), () -> hosts(call));
    }

    CompletableFuture<SimpleHttpResponse> metrics(SimpleHttpRequest call) {
        return answerAt(call, "/metrics", () -> SimpleHttpResponse.text(200, metrics.get()));
    }

    private static CompletableFuture<SimpleHttpResponse> answerAt(
            SimpleHttpRequest call, String path, Supplier<SimpleHttpResponse> answer) {
        return CompletableFuture.completedFuture(
                call.path().equals(path)
                        ? answer.get()
                        : SimpleHttpResponse.problem(Failure.of(ErrorCode.PATH_UNKNOWN, call.path())));
    }

    private SimpleHttpResponse readiness() {
        return ready.getAsBoolean()
                ? SimpleHttpResponse.text(200, "ready\n")
                : SimpleHttpResponse.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
    }

    private SimpleHttpResponse hosts(SimpleHttpRequest call) {
        Either<Failure, LookupCodec.LookupQuery> query = protocol.lookupCodec().read(call);
        if (query.isLeft()) {
            return SimpleHttpResponse.problem(query.getLeft());
        }
        List<HostEntry> registered = state.get().hosts();
        if (registered.isEmpty()) {
            return SimpleHttpResponse.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
        }
        List<String> addresses = NearbyHosts.of(
                        registered, query.get().region(), query.get().failureDomain())
                .stream()
                .map(HostEntry::callerAddress)
                .toList();
        Duration limit = settings.get().lookupMaxAge();
        return protocol.lookupCodec().write(addresses, limit.compareTo(MAX_LOOKUP_AGE) < 0 ? limit : MAX_LOOKUP_AGE);
    }
}
