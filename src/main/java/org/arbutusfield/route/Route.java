package org.arbutusfield.route;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * The requests to one host below a path prefix, and how they are handled.
 *
 * @param name unique name
 * @param host host name in the callers' requests
 * @param prefix path prefix; begins and ends with a slash
 * @param idempotent whether running a request twice is harmless
 * @param largeResponses whether responses are large, so that distance costs more than on other routes
 * @param timeout maximum time from receiving the request to the beginning of the response
 * @param latencyObjective time within which the caller should get the response
 * @param priority 0 is the most urgent
 * @param attempts maximum number of upstreams that may run one request
 * @param allowedRegions regions that may serve it; empty for all
 * @param affinity whether requests for an object go to the same upstream, because one that served it recently is faster
 * @param weightedServices services that share its requests, with their weights; at least one
 * @param open whether requests need no key although the configuration has teams
 * @param upload whether requests have large bodies, run at most once and are placed before their bodies are read
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        boolean largeResponses,
        Duration timeout,
        Duration latencyObjective,
        int priority,
        int attempts,
        Set<String> allowedRegions,
        boolean affinity,
        List<WeightedService> weightedServices,
        boolean open,
        boolean upload) {

    /** Creates a route that is no upload and whose requests need a key if the configuration has teams. */
    public Route(
            String name,
            String host,
            String prefix,
            boolean idempotent,
            boolean largeResponses,
            Duration timeout,
            Duration latencyObjective,
            int priority,
            int attempts,
            Set<String> allowedRegions,
            boolean affinity,
            List<WeightedService> weightedServices) {
        this(
                name,
                host,
                prefix,
                idempotent,
                largeResponses,
                timeout,
                latencyObjective,
                priority,
                attempts,
                allowedRegions,
                affinity,
                weightedServices,
                false,
                false);
    }

    /** Makes the record immutable by copying the collections. */
    public Route {
        allowedRegions = Set.copyOf(allowedRegions);
        weightedServices = List.copyOf(weightedServices);
    }

    /** Returns true when an upstream in the region may serve the route. */
    public boolean allows(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }

    /**
     * Returns the service for a request.
     *
     * @param point position of the request, uniform in [0, 1)
     */
    public String serviceAt(double point) {
        if (weightedServices.size() == 1) {
            return weightedServices.get(0).service();
        }
        long total = 0;
        for (WeightedService weightedService : weightedServices) {
            total += weightedService.weight();
        }
        double remaining = point * total;
        for (WeightedService weightedService : weightedServices) {
            remaining -= weightedService.weight();
            if (remaining < 0) {
                return weightedService.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
