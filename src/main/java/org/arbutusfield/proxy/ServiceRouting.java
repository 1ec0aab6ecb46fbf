package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;

/**
 * The service that a request names, by its first path segment or otherwise by its {@code Host} field.
 *
 * @param service the service
 * @param target request target at the upstream
 */
record ServiceRouting(Service service, String target) {
    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final List<String> SAFE_METHODS = List.of("GET", "HEAD", "OPTIONS");
    private static final RequestClass SAFE =
            new RequestClass("unclassified", SAFE_METHODS, "", true, true, DEFAULT_DEADLINE_MILLIS);
    private static final RequestClass UNSAFE =
            new RequestClass("unclassified", List.of(), "", false, true, DEFAULT_DEADLINE_MILLIS);

    /** Determines the class of the request in the service; {@code REQUEST_MALFORMED} if the path is malformed. */
    Either<Failure, RouteMatch> routeMatch(String method) {
        Optional<String> path = TargetPath.normalise(target);
        if (path.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.REQUEST_MALFORMED, "target"));
        }
        RequestClass requestClass =
                service.requestClassFor(method, path.get()).orElse(SAFE_METHODS.contains(method) ? SAFE : UNSAFE);
        return Either.right(new RouteMatch(service, requestClass, target, path.get(), Optional.empty()));
    }

    static Optional<ServiceRouting> of(HttpRequest request, Configuration configuration) {
        String uri = request.uri();
        int end = endOfSegment(uri);
        Optional<Service> byPath = configuration.service(uri.substring(1, end));
        if (byPath.isPresent()) {
            String rest = uri.substring(end);
            return Optional.of(new ServiceRouting(byPath.get(), rest.startsWith("/") ? rest : "/" + rest));
        }
        String host = request.headers().get(HttpHeaderNames.HOST);
        if (host == null) {
            return Optional.empty();
        }
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return configuration.service(name).map(service -> new ServiceRouting(service, uri));
    }

    private static int endOfSegment(String uri) {
        for (int i = 1; i < uri.length(); i++) {
            if (uri.charAt(i) == '/' || uri.charAt(i) == '?') {
                return i;
            }
        }
        return uri.length();
    }
}
