package org.arbutusfield.model;

/**
 * A region: one or more failure domains with low latency between them.
 *
 * @param name unique name
 * @param hostCeiling maximum number of entry hosts that will ever run in the region; base shares are divided by it
 */
public record Region(String name, int hostCeiling) implements Entity {
    @Override
    public Kind kind() {
        return Kind.REGION;
    }

    @Override
    public String key() {
        return name;
    }
}
