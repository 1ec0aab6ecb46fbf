package org.arbutusfield.follow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.route.RouteTable;

/**
 * All that a host steers by, as of one moment. Immutable.
 *
 * @param routes the operator's routes; none before the first configuration
 * @param upstreams upstreams that may get requests, by service, sorted by name
 * @param drainedDomains failure domains whose upstreams get nothing
 * @param hosts entry hosts that are alive, sorted by name
 * @param homes stored homes of objects by service: names of upstreams by object key
 * @param revision revision of the store that it reflects
 */
public record SteeringState(
        Optional<RouteTable> routes,
        Map<String, List<LiveUpstream>> upstreams,
        Set<String> drainedDomains,
        List<HostEntry> hosts,
        Map<String, Map<Long, String>> homes,
        long revision) {

    /** Nothing known. */
    public static SteeringState empty() {
        return new SteeringState(Optional.empty(), Map.of(), Set.of(), List.of(), Map.of(), 0);
    }

    /** Version of the routes; 0 when there are none. */
    public long version() {
        return routes.map(RouteTable::version).orElse(0L);
    }

    /** Upstreams of a service that may get requests. */
    public List<LiveUpstream> upstreams(String service) {
        return upstreams.getOrDefault(service, List.of());
    }

    /** The named upstream of the service, if it may get requests. */
    public Optional<LiveUpstream> upstream(String service, String name) {
        List<LiveUpstream> sorted = upstreams(service);
        int from = 0;
        int to = sorted.size();
        while (from < to) {
            int middle = (from + to) / 2;
            int order = sorted.get(middle).name().compareTo(name);
            if (order == 0) {
                return Optional.of(sorted.get(middle));
            }
            from = order < 0 ? middle + 1 : from;
            to = order < 0 ? to : middle;
        }
        return Optional.empty();
    }

    /** True when the named upstream of the service may get requests. */
    public boolean offers(String service, String name) {
        return upstream(service, name).isPresent();
    }
}
