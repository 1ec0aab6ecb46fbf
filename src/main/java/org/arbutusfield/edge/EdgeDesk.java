package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.HostEntry;
import org.arbutusfield.follow.SteeringState;
import org.arbutusfield.http.HttpAnswer;
import org.arbutusfield.http.HttpCall;

/** Answers whether the host is ready, which hosts callers should use, and what the metrics are. */
final class EdgeDesk {
    private static final Duration LOOKUP_AGE = Duration.ofSeconds(2);

    private final EdgeFormats formats;
    private final Supplier<SteeringState> state;
    private final BooleanSupplier ready;
    private final Supplier<EdgeSettings> settings;
    private final Supplier<String> metrics;

    private EdgeDesk(
            EdgeFormats formats,
            Supplier<SteeringState> state,
            BooleanSupplier ready,
            Supplier<EdgeSettings> settings,
            Supplier<String> metrics) {
        this.formats = formats;
        this.state = state;
        this.ready = ready;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** A desk that answers from these. */
    static EdgeDesk of(
            EdgeFormats formats,
            Supplier<SteeringState> state,
            BooleanSupplier ready,
            Supplier<EdgeSettings> settings,
            Supplier<String> metrics) {
        return new EdgeDesk(formats, state, ready, settings, metrics);
    }

    CompletableFuture<HttpAnswer> ready(HttpCall call) {
        return done(call, formats.readyPath(), this::readiness);
    }

    CompletableFuture<HttpAnswer> lookup(HttpCall call) {
        return done(call, formats.lookupPath(), () -> hosts(call));
    }

    CompletableFuture<HttpAnswer> metrics(HttpCall call) {
        return done(call, "/metrics", () -> HttpAnswer.text(200, metrics.get()));
    }

    private static CompletableFuture<HttpAnswer> done(HttpCall call, String path, Supplier<HttpAnswer> answer) {
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
        Either<Failure, LookupFormat.LookupQuery> query = formats.lookups().read(call);
        if (query.isLeft()) {
            return HttpAnswer.problem(query.getLeft());
        }
        List<HostEntry> known = state.get().hosts();
        if (known.isEmpty()) {
            return HttpAnswer.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
        }
        List<String> addresses = NearbyHosts.of(
                        known, query.get().region(), query.get().failureDomain())
                .stream()
                .map(HostEntry::callerAddress)
                .toList();
        Duration limit = settings.get().lookupMaxAge();
        return formats.lookups().write(addresses, limit.compareTo(LOOKUP_AGE) < 0 ? limit : LOOKUP_AGE);
    }
}
