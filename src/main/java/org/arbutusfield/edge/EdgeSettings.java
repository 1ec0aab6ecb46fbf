package org.arbutusfield.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.arbutusfield.share.ShareTolerance;
import org.arbutusfield.steering.SharedRetryBudget;

/**
 * The checked settings of an edge host.
 *
 * @param name unique name of the host
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param callerAddress address where callers connect
 * @param readyAddress address of the platform's readiness checks
 * @param lookupAddress address of look-ups
 * @param controlAddress address where other hosts connect
 * @param metricsAddress address where metrics are read
 * @param storeAddress address of the platform's store
 * @param regions region of each failure domain
 * @param maxDescriptors number of file descriptors that the process may open
 * @param capacity share of processors, in thousandths of a core
 * @param lookupMaxAge maximum time that callers may cache a look-up response
 * @param stopLimit time from the signal to stop until the process is killed
 * @param maxPropagationDelay time within which a change of routes or upstreams must be in force
 * @param retryBudget budget of all hosts together for retries
 * @param teamTolerance what all hosts together may send beyond the limit of a team; empty if nothing
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
        SharedRetryBudget retryBudget,
        Optional<ShareTolerance> teamTolerance) {

    /** Makes the record immutable by copying the map. */
    public EdgeSettings {
        regions = Map.copyOf(regions);
    }
}
