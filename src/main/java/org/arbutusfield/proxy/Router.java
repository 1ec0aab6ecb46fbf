package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;

/** Finds the service and class of a request. Thread-safe; does not block. */
@FunctionalInterface
public interface Router {
    /**
     * Routes a request.
     *
     * @param request head that passed the general checks
     * @param requestId id of the request
     * @return the match; {@code NO_CONFIGURATION} if there is no configuration yet, otherwise a failure with a 4xx
     *     status
     */
    Either<Failure, RouteMatch> route(HttpRequest request, String requestId);

    /** Routes by the services of the configuration in force. */
    static Router byService(Supplier<Configuration> configurationInForce) {
        return (request, requestId) -> {
            Configuration configuration = configurationInForce.get();
            ErrorCode unknown = configuration.revision() == 0 ? ErrorCode.NO_CONFIGURATION : ErrorCode.SERVICE_UNKNOWN;
            return ServiceRouting.of(request, configuration)
                    .map(Either::<Failure, ServiceRouting>right)
                    .orElseGet(() -> Either.left(Failure.of(unknown, request.uri())))
                    .flatMap(routing -> routing.routeMatch(request.method().name()));
        };
    }
}
