package org.arbutusfield.state;

import java.util.Map;
import org.arbutusfield.route.RouteTable;

/** One decoded item of the store. */
public sealed interface StateItem {

    /**
     * The operator's routes.
     *
     * @param routes the whole table
     */
    record Routes(RouteTable routes) implements StateItem {}

    /**
     * A failure domain whose upstreams get no requests while the item stands.
     *
     * @param failureDomain name of the failure domain
     */
    record DomainDrain(String failureDomain) implements StateItem {}

    /**
     * What an upstream says of itself.
     *
     * @param entry its entry
     */
    record UpstreamReport(UpstreamEntry entry) implements StateItem {}

    /**
     * An entry host that is alive.
     *
     * @param entry its entry
     */
    record HostReport(HostEntry entry) implements StateItem {}

    /**
     * The homes of a service's objects, as a planner stored them.
     *
     * @param service the service
     * @param upstreams names of upstreams by object key
     */
    record Homes(String service, Map<Long, String> upstreams) implements StateItem {}

    /** An item that this product has no use for. */
    record Other() implements StateItem {}
}
