package org.arbutusfield.affinity;

/**
 * Objects that share the same eligible upstreams.
 *
 * @param service service that serves the objects
 * @param route route that the objects belong to
 * @param region the only region whose upstreams may serve the objects; empty for all regions that the route allows
 */
public record ObjectGroup(String service, String route, String region) {
    // Written out, because the generated methods of a record are slow until they are compiled, and each request uses
    // them.

    @Override
    public boolean equals(Object other) {
        return other instanceof ObjectGroup that
                && route.equals(that.route)
                && service.equals(that.service)
                && region.equals(that.region);
    }

    @Override
    public int hashCode() {
        return (route.hashCode() * 31 + service.hashCode()) * 31 + region.hashCode();
    }
}
