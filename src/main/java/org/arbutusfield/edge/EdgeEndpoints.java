package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpAnswer;
import org.arbutusfield.http.HttpCall;
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

    CompletableFuture<HttpAnswer> ready(HttpCall call) {
        return answerAt(call, protocol.readyPath(), this::readiness);
    }

    CompletableFuture<HttpAnswer> lookup(HttpCall call) {
        return answerAt(call, protocol.lookupPath(), () -> hosts(call));
    }

    CompletableFuture<HttpAnswer> metrics(HttpCall call) {
        return answerAt(call, "/metrics", () -> HttpAnswer.text(200, metrics.get()));
    }

    private static CompletableFuture<HttpAnswer> answerAt(HttpCall call, String path, Supplier<HttpAnswer> answer) {
        return CompletableFuture.completedFuture(
                call.path().equals(path)
                        ? answer.get()
                        : HttpAnswer.problem(Failure.of(ErrorCode.PATH_UNKNOWN, call.path())));
    }

    private HttpAnswer readiness() {
        return ready.getAsBoolean()
                ? HttpAnswer.text(200, "ready\n")
                : HttpAnswer.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
    }

    private HttpAnswer hosts(HttpCall call) {
        Either<Failure, LookupCodec.LookupQuery> query = protocol.lookupCodec().read(call);
        if (query.isLeft()) {
            return HttpAnswer.problem(query.getLeft());
        }
        List<HostEntry> registered = state.get().hosts();
        if (registered.isEmpty()) {
            return HttpAnswer.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
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
