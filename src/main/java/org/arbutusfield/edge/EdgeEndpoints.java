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

/** HTTP endpoints of an edge host: readiness, look-up of hosts, metrics and teams. */
final class EdgeEndpoints {
    private static final Duration MAX_LOOKUP_AGE = Duration.ofSeconds(2);

    private final EdgeProtocol protocol;
    private final Supplier<SteeringState> state;
    private final BooleanSupplier ready;
    private final Supplier<EdgeSettings> settings;
    private final Supplier<String> metrics;
    private final TeamPage teams;

    private EdgeEndpoints(
            EdgeProtocol protocol,
            Supplier<SteeringState> state,
            BooleanSupplier ready,
            Supplier<EdgeSettings> settings,
            Supplier<String> metrics,
            TeamPage teams) {
        this.protocol = protocol;
        this.state = state;
        this.ready = ready;
        this.settings = settings;
        this.metrics = metrics;
        this.teams = teams;
    }

    /** Creates the endpoints. */
    static EdgeEndpoints of(
            EdgeProtocol protocol,
            Supplier<SteeringState> state,
            BooleanSupplier ready,
            Supplier<EdgeSettings> settings,
            Supplier<String> metrics,
            TeamPage teams) {
        return new EdgeEndpoints(protocol, state, ready, settings, metrics, teams);
    }

    CompletableFuture<SimpleHttpResponse> ready(SimpleHttpRequest request) {
        return respondAt(request, protocol.readyPath(), this::readiness);
    }

    CompletableFuture<SimpleHttpResponse> lookup(SimpleHttpRequest request) {
        return respondAt(request, protocol.lookupPath(), () -> hosts(request));
    }

    CompletableFuture<SimpleHttpResponse> metrics(SimpleHttpRequest request) {
        if (request.path().equals("/teams")) {
            return CompletableFuture.completedFuture(teams.render());
        }
        return respondAt(request, "/metrics", () -> SimpleHttpResponse.text(200, metrics.get()));
    }

    private static CompletableFuture<SimpleHttpResponse> respondAt(
            SimpleHttpRequest request, String path, Supplier<SimpleHttpResponse> response) {
        return CompletableFuture.completedFuture(
                request.path().equals(path)
                        ? response.get()
                        : SimpleHttpResponse.problem(Failure.of(ErrorCode.PATH_UNKNOWN, request.path())));
    }

    private SimpleHttpResponse readiness() {
        return ready.getAsBoolean()
                ? SimpleHttpResponse.text(200, "ready\n")
                : SimpleHttpResponse.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
    }

    private SimpleHttpResponse hosts(SimpleHttpRequest request) {
        Either<Failure, LookupCodec.LookupQuery> query = protocol.lookupCodec().read(request);
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
        Duration configuredMaxAge = settings.get().lookupMaxAge();
        return protocol.lookupCodec()
                .write(addresses, configuredMaxAge.compareTo(MAX_LOOKUP_AGE) < 0 ? configuredMaxAge : MAX_LOOKUP_AGE);
    }
}
