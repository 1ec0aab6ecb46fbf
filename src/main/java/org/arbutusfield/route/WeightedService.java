package org.arbutusfield.route;

/**
 * A service and its share of a route's requests.
 *
 * @param service name of the service
 * @param weight size of the share relative to the other services of the route; zero or more
 */
public record WeightedService(String service, int weight) {}
