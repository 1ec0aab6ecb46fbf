package org.arbutusfield.model;

/**
 * A location that client blocks are mapped to.
 *
 * @param name unique name
 * @param failureDomain name of its failure domain
 */
public record Site(String name, String failureDomain) implements Entity {
    @Override
    public Kind kind() {
        return Kind.SITE;
    }

    @Override
    public String key() {
        return name;
    }
}
