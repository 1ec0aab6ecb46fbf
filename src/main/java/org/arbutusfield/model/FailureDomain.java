package org.arbutusfield.model;

/**
 * A part of a region that fails as a unit.
 *
 * @param name unique name
 * @param region name of its region
 */
public record FailureDomain(String name, String region) implements Entity {
    @Override
    public Kind kind() {
        return Kind.FAILURE_DOMAIN;
    }

    @Override
    public String key() {
        return name;
    }
}
