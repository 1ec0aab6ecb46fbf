package org.arbutusfield.route;

/**
 * One part of a route's requests.
 *
 * @param service the service that gets the part
 * @param weight its size relative to the other parts; zero or more
 */
public record WeightedService(String service, int weight) {}
