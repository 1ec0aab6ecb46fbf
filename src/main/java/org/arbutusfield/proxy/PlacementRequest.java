package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;

/**
 * What a placement knows of a request.
 *
 * @param requestId id of the request, end to end
 * @param service the service it asks for
 * @param requestClass its class
 * @param method upper-case method
 * @param path decoded and normalised path at the upstream
 * @param remaining time left until its deadline
 * @param caller address of the caller, or of the entry host that forwarded it
 * @param hops entry hosts that forwarded it before this one
 * @param tried names of upstreams and hosts where a try failed already
 * @param route the operator's route, if there is one
 * @param objectKey the object that the request concerns, if the caller names one
 */
public record PlacementRequest(
        String requestId,
        Service service,
        RequestClass requestClass,
        String method,
        String path,
        Duration remaining,
        InetSocketAddress caller,
        int hops,
        Set<String> tried,
        Optional<Route> route,
        Optional<String> objectKey) {

    /** Copies the set so that the facts stay immutable. */
    public PlacementRequest {
        tried = Set.copyOf(tried);
    }
}
