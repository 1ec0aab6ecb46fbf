package org.arbutusfield.route;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * One route: the requests of a host below a path prefix, and how they are treated.
 *
 * @param name unique name
 * @param host host that callers name
 * @param prefix path prefix; begins and ends with a slash
 * @param idempotent whether running a request twice is harmless
 * @param largeResponses whether answers are large, so that distance costs more than on other routes
 * @param timeout longest time from receipt to the beginning of the answer
 * @param latencyObjective time within which an answer is worth most to the caller
 * @param priority urgency; 0 is the most urgent
 * @param attempts upstreams that may run one request
 * @param allowedRegions regions that may serve it; empty means all
 * @param affinity whether an upstream that served the same object lately is faster
 * @param weightedServices services that serve it, by weight; at least one
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
        List<WeightedService> weightedServices) {

    /** Copies the collections so that the route stays immutable. */
    public Route {
        allowedRegions = Set.copyOf(allowedRegions);
        weightedServices = List.copyOf(weightedServices);
    }

    /** True when an upstream in the region may serve the route. */
    public boolean allows(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }

    /**
     * The service for a request.
     *
     * @param point where the request falls, at least 0 and below 1; uniform over requests
     */
    public String serviceAt(double point) {
        long total =
                weightedServices.stream().mapToLong(WeightedService::weight).sum();
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
