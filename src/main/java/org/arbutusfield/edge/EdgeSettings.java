package org.arbutusfield.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.arbutusfield.steering.SharedRetryBudget;

/**
 * The checked settings of an entry host that lives on the platform's store.
 *
 * @param name unique host name
 * @param region region it stands in
 * @param failureDomain failure domain it stands in
 * @param callerAddress where callers connect
 * @param readyAddress where the platform asks whether it is ready
 * @param lookupAddress where callers ask which hosts to use
 * @param controlAddress where other hosts connect
 * @param metricsAddress where its metrics are read
 * @param storeAddress the platform's store
 * @param regions region of each failure domain
 * @param maxDescriptors file descriptors that the process may open
 * @param capacity share of processors, in thousandths of a core
 * @param lookupMaxAge how long callers may cache a look-up answer, at most
 * @param stopLimit time from the signal to stop until the process is ended
 * @param maxPropagationDelay time in which a change of routes or upstreams must be in force
 * @param retryBudget the budget of all hosts together for repeated requests
 */
public record EdgeSettings(
        String name,
        String region,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress lookupAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress storeAddress,
        Map<String, String> regions,
        int maxDescriptors,
        int capacity,
        Duration lookupMaxAge,
        Duration stopLimit,
        Duration maxPropagationDelay,
        SharedRetryBudget retryBudget) {

    /** Copies the map so that the settings stay immutable. */
    public EdgeSettings {
        regions = Map.copyOf(regions);
    }
}
