package org.arbutusfield.steering;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RouteMatch;
import org.arbutusfield.proxy.Router;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.state.SteeringState;

/** Routes requests by the operator's route table. */
public final class RouteTableRouter implements Router {
    /** Retry-after time of requests that arrive before the first configuration. */
    private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(500);

    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;

    private final Supplier<SteeringState> state;

    private RouteTableRouter(Supplier<SteeringState> state) {
        this.state = state;
    }

    /** Creates a router that reads the current state from the supplier. */
    public static RouteTableRouter of(Supplier<SteeringState> state) {
        return new RouteTableRouter(state);
    }

    @Override
    public Either<Failure, RouteMatch> route(HttpRequest request, String requestId) {
        Optional<RouteTable> table = state.get().routes();
        if (table.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.NO_CONFIGURATION).withRetryAfter(NO_CONFIGURATION_RETRY_AFTER));
        }
        String path = pathOf(request.uri());
        return table.get()
                .match(hostOf(request), path)
                .map(route -> Either.<Failure, RouteMatch>right(routeMatch(route, request, requestId, path)))
                .orElseGet(() -> Either.left(Failure.of(
                        ErrorCode.ROUTE_UNKNOWN, path, "version " + table.get().version())));
    }

    private static RouteMatch routeMatch(Route route, HttpRequest request, String requestId, String path) {
        double point = (WeightedRendezvous.mix(WeightedRendezvous.hash(requestId)) >>> 11) * UNIT_INTERVAL_SCALE;
        String name = route.serviceAt(point);
        RequestClass requestClass = new RequestClass(
                route.name(),
                List.of(),
                route.prefix(),
                route.idempotent(),
                true,
                route.timeout().toMillis());
        Service service = new Service(name, 0, 0, 0, List.of(requestClass), List.of());
        return new RouteMatch(service, requestClass, request.uri(), path, Optional.of(route));
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private static String hostOf(HttpRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
