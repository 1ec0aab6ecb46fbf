package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;

/**
 * The data of a request that a placement uses.
 *
 * @param requestId id of the request, end to end
 * @param service service that the request is for
 * @param requestClass class of the request in the service
 * @param method HTTP method in upper case
 * @param path decoded and normalised path at the upstream
 * @param remaining time left until the deadline
 * @param caller address of the caller, or of the host that forwarded the request
 * @param hops number of hosts that forwarded the request before this one
 * @param tried names of the upstreams and hosts at which an attempt has failed
 * @param route the operator's route, if there is one
 * @param objectKey key of the object that the request concerns, if the caller names one
 * @param bodyBytes declared length of the body; empty if none is declared, as for chunked bodies
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
        Optional<String> objectKey,
        OptionalLong bodyBytes) {

    /** Copies the set so that the record is immutable. */
    public PlacementRequest {
        tried = Set.copyOf(tried);
    }

    /** Creates a request of which the length of the body isn't known. */
    public PlacementRequest(
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
        this(
                requestId,
                service,
                requestClass,
                method,
                path,
                remaining,
                caller,
                hops,
                tried,
                route,
                objectKey,
                OptionalLong.empty());
    }
}
