package org.arbutusfield.model;

/**
 * Permission to move callers of a service from one region to another. Without a rule no callers are moved.
 *
 * @param service name of the service
 * @param from name of the region whose callers may be moved
 * @param to name of the region they may be moved to
 * @param preference lower values are preferred when regions are otherwise equal
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
