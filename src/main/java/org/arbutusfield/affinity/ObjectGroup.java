package org.arbutusfield.affinity;

/**
 * Objects that share the same eligible upstreams.
 *
 * @param service service that serves the objects
 * @param route route that the objects belong to
 * @param region the only region whose upstreams may serve the objects; empty for all regions that the route allows
 */
public record ObjectGroup(String service, String route, String region) {}
