package org.arbutusfield.model;

/**
 * A place to which blocks of clients are mapped.
 *
 * @param name unique name
 * @param failureDomain name of the failure domain it stands in
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
