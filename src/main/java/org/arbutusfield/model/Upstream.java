package org.arbutusfield.model;

/**
 * One server of a service.
 *
 * @param name unique name
 * @param service the service it runs
 * @param failureDomain the failure domain it stands in
 * @param host its IP address
 * @param port its TCP port
 * @param slots requests it runs at once
 * @param connections connections it accepts from all entry hosts together
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
