package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.route.Route;
import org.arbutusfield.team.Team;

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
 * @param team the team of the request, if it is known
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
        Optional<Team> team) {
    /** Rank of requests without a team or route that states one: as the most urgent ones. */
    private static final int DEFAULT_RANK = 0;

    /** Creates the data of a request without a team */
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
                Optional.empty());
    }

    /** Copies the set so that the record is immutable. */
    public PlacementRequest {
        tried = Set.copyOf(tried);
    }

    /** Rank of the request, 0 is the most urgent: the priority of its team if that has one, else of its route. */
    public int rank() {
        OptionalInt ofTeam = team.map(Team::priority).orElse(OptionalInt.empty());
        return ofTeam.orElseGet(() -> route.map(Route::priority).orElse(DEFAULT_RANK));
    }

    /** Returns true when both its route and its team allow the region. */
    public boolean allows(String region) {
        return route.map(r -> r.allows(region)).orElse(true)
                && team.map(t -> t.allows(region)).orElse(true);
    }
}
