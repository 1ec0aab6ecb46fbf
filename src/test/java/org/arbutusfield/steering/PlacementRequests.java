package org.arbutusfield.steering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.route.Route;

/** Requests for tests of the placement. */
public final class PlacementRequests {
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    private PlacementRequests() {}

    /**
     * Creates a repeatable request.
     *
     * @param service name of its service
     * @param tried upstreams at which it has failed
     * @param route its route, if there is one
     * @param object the object that it concerns, if any
     */
    public static PlacementRequest of(
            String service, Set<String> tried, Optional<Route> route, Optional<String> object) {
        RequestClass requestClass = new RequestClass("r", List.of(), "/", true, true, DEADLINE.toMillis());
        return new PlacementRequest(
                "1",
                new Service(service, 0, 0, 0, List.of(requestClass), List.of()),
                requestClass,
                "GET",
                "/",
                DEADLINE,
                new InetSocketAddress(0),
                0,
                tried,
                route,
                object);
    }
}
