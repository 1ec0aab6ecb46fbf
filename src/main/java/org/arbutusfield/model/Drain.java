package org.arbutusfield.model;

/**
 * A planned stop: the target receives no new requests, and its running requests are finished.
 *
 * @param target what is drained
 * @param name name of the upstream, failure domain, region or entry host
 */
public record Drain(Target target, String name) implements Entity {

    /** What can be drained. */
    public enum Target {
        UPSTREAM,
        FAILURE_DOMAIN,
        REGION,
        HOST
    }

    @Override
    public Kind kind() {
        return Kind.DRAIN;
    }

    @Override
    public String key() {
        return target + ":" + name;
    }
}
