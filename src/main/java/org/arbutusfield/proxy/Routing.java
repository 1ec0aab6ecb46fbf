package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Service;

/**
 * The service that a request names, by its first path segment or else by its Host.
 *
 * @param service the service
 * @param target target at the upstream
 */
record Routing(Service service, String target) {

    static Optional<Routing> of(HttpRequest request, Configuration configuration) {
        String uri = request.uri();
        int end = endOfSegment(uri);
        Optional<Service> byPath = configuration.service(uri.substring(1, end));
        if (byPath.isPresent()) {
            String rest = uri.substring(end);
            return Optional.of(new Routing(byPath.get(), rest.startsWith("/") ? rest : "/" + rest));
        }
        String host = request.headers().get(HttpHeaderNames.HOST);
        if (host == null) {
            return Optional.empty();
        }
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return configuration.service(name).map(service -> new Routing(service, uri));
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
