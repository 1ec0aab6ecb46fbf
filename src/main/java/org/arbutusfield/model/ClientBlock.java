package org.arbutusfield.model;

/**
 * A block of client addresses and the site nearest to these clients.
 *
 * @param prefix IPv4 prefix in CIDR notation, for example {@code 10.2.0.0/16}
 * @param site name of the site
 */
public record ClientBlock(String prefix, String site) implements Entity {
    @Override
    public Kind kind() {
        return Kind.CLIENT_BLOCK;
    }

    @Override
    public String key() {
        return prefix;
    }
}
