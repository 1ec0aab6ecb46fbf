package org.arbutusfield.affinity;

/**
 * Objects that are planned alike.
 *
 * @param service service that serves them
 * @param route route that they belong to
 * @param region region whose upstreams alone may serve them; empty for all that the route allows
 */
public record ObjectGroup(String service, String route, String region) {}
