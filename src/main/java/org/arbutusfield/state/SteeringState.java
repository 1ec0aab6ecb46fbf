package org.arbutusfield.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.store.StoreRevision;

/**
 * A snapshot of everything that a host bases its placement of requests on. Immutable.
 *
 * @param routes the operator's routes; empty before the first configuration
 * @param upstreams upstreams that may get requests, by service, sorted by name
 * @param drainedDomains failure domains whose upstreams get no requests
 * @param hosts live entry hosts, sorted by name
 * @param leader what the store tells about the leader
 * @param homes stored homes of objects by service: names of upstreams by object key
 * @param suspects requests under which upstreams ended, by fingerprint
 * @param revision revision of the store that the snapshot reflects
 */
public record SteeringState(
        Optional<RouteTable> routes,
        Map<String, List<LiveUpstream>> upstreams,
        Set<String> drainedDomains,
        List<HostEntry> hosts,
        LeaderView leader,
        Map<String, Map<Long, String>> homes,
        Map<String, SuspectRequest> suspects,
        StoreRevision revision) {

    /** Creates a state without a leader. */
    public SteeringState(
            Optional<RouteTable> routes,
            Map<String, List<LiveUpstream>> upstreams,
            Set<String> drainedDomains,
            List<HostEntry> hosts,
            Map<String, Map<Long, String>> homes,
            Map<String, SuspectRequest> suspects,
            StoreRevision revision) {
        this(routes, upstreams, drainedDomains, hosts, LeaderView.NONE, homes, suspects, revision);
    }

    /** Returns the state before anything was read from the store. */
    public static SteeringState empty() {
        return new SteeringState(
                Optional.empty(),
                Map.of(),
                Set.of(),
                List.of(),
                LeaderView.NONE,
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    /** Returns the version of the routes; 0 when there are none. */
    public long routesVersion() {
        return routes.map(RouteTable::version).orElse(0L);
    }

    /** Returns the upstreams of a service that may get requests. */
    public List<LiveUpstream> upstreams(String service) {
        return upstreams.getOrDefault(service, List.of());
    }

    /** Returns the named upstream of the service, if it may get requests. */
    public Optional<LiveUpstream> upstream(String service, String name) {
        List<LiveUpstream> sorted = upstreams(service);
        int low = 0;
        int high = sorted.size();
        while (low < high) {
            int mid = (low + high) / 2;
            int comparison = sorted.get(mid).name().compareTo(name);
            if (comparison == 0) {
                return Optional.of(sorted.get(mid));
            }
            low = comparison < 0 ? mid + 1 : low;
            high = comparison < 0 ? high : mid;
        }
        return Optional.empty();
    }

    /** Returns this state with each upstream replaced. The replacements must have the same names. */
    public SteeringState withUpstreams(UnaryOperator<LiveUpstream> replacement) {
        Map<String, List<LiveUpstream>> replaced = new HashMap<>();
        upstreams.forEach((service, list) ->
                replaced.put(service, list.stream().map(replacement).toList()));
        return new SteeringState(
                routes, Map.copyOf(replaced), drainedDomains, hosts, leader, homes, suspects, revision);
    }

    /** Returns true when the named upstream of the service may get requests. */
    public boolean hasUpstream(String service, String name) {
        return upstream(service, name).isPresent();
    }
}
