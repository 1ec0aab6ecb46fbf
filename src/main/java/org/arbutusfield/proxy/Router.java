package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;

/** Finds what a request asks for. Thread-safe; does not block. */
@FunctionalInterface
public interface Router {
    /**
     * What the request asks for.
     *
     * @param request a head without fault
     * @param requestId the id it goes by
     * @return its destination; {@code NO_CONFIGURATION} when nothing is known yet, else a failure with a 4xx status
     */
    Either<Failure, RouteMatch> route(HttpRequest request, String requestId);

    /** Routes by the services of the running configuration. */
    static Router byService(Supplier<Configuration> running) {
        return (request, requestId) -> {
            Configuration configuration = running.get();
            ErrorCode unknown = configuration.revision() == 0 ? ErrorCode.NO_CONFIGURATION : ErrorCode.SERVICE_UNKNOWN;
            return ServiceRouting.of(request, configuration)
                    .map(Either::<Failure, ServiceRouting>right)
                    .orElseGet(() -> Either.left(Failure.of(unknown, request.uri())))
                    .flatMap(routing -> routing.destination(request.method().name()));
        };
    }
}
