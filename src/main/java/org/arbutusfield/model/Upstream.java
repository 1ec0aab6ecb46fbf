package org.arbutusfield.model;

/**
 * An upstream of a service: a process that runs the requests forwarded to it.
 *
 * @param name unique name
 * @param service name of the service that it belongs to
 * @param failureDomain name of its failure domain
 * @param host its IP address
 * @param port its TCP port
 * @param slots number of requests it runs concurrently
 * @param connections number of connections it accepts, summed over all entry hosts
 */
public record Upstream(
        String name, String service, String failureDomain, String host, int port, int slots, int connections)
        implements Entity {
    @Override
    public Kind kind() {
        return Kind.UPSTREAM;
    }

    @Override
    public String key() {
        return name;
    }
}
