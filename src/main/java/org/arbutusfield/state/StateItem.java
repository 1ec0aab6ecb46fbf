package org.arbutusfield.state;

import java.util.Map;
import org.arbutusfield.route.RouteTable;

/** A decoded item of the store. */
public sealed interface StateItem {

    /**
     * The operator's routes.
     *
     * @param routes the whole table
     */
    record Routes(RouteTable routes) implements StateItem {}

    /**
     * A failure domain whose upstreams get no requests while the item exists.
     *
     * @param failureDomain name of the failure domain
     */
    record DomainDrain(String failureDomain) implements StateItem {}

    /**
     * The report of an upstream about itself.
     *
     * @param entry its entry
     */
    record UpstreamRegistration(UpstreamEntry entry) implements StateItem {}

    /**
     * The registration of an entry host.
     *
     * @param entry its entry
     */
    record HostRegistration(HostEntry entry) implements StateItem {}

    /**
     * The homes of a service's objects, as written by a planner.
     *
     * @param service the service
     * @param upstreams names of upstreams by object key
     */
    record Homes(String service, Map<Long, String> upstreams) implements StateItem {}

    /**
     * A request under which upstreams ended.
     *
     * @param request the request
     */
    record Suspect(SuspectRequest request) implements StateItem {}

    /**
     * The settled era, see {@link LeaderView}.
     *
     * @param era number of the era
     */
    record SettledEra(long era) implements StateItem {}

    /** An item that is not used. */
    record Other() implements StateItem {}
}
