package org.arbutusfield.model;

/**
 * The network link from one region to another, in one direction.
 *
 * @param from name of the sending region
 * @param to name of the receiving region
 * @param oneWayMillis one-way delay, in milliseconds
 * @param bitsPerSecond capacity of the link in bits per second, shared by all traffic
 */
public record Link(String from, String to, double oneWayMillis, long bitsPerSecond) implements Entity {
    @Override
    public Kind kind() {
        return Kind.LINK;
    }

    @Override
    public String key() {
        return from + ">" + to;
    }
}
