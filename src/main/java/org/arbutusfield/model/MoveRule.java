package org.arbutusfield.model;

/**
 * Permission to move a service's callers from one region to another. Without a rule nothing moves.
 *
 * @param service the service
 * @param from region whose callers may be moved
 * @param to region that may take them
 * @param preference lower is tried first when regions are otherwise alike
 */
public record MoveRule(String service, String from, String to, int preference) implements Entity {
    @Override
    public Kind kind() {
        return Kind.MOVE_RULE;
    }

    @Override
    public String key() {
        return service + "/" + from + ">" + to;
    }
}
