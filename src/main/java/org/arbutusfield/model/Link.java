package org.arbutusfield.model;

/**
 * The network from one region to another, in one direction.
 *
 * @param from region that sends
 * @param to region that receives
 * @param oneWayMillis delay in one direction, in milliseconds
 * @param bitsPerSecond what the link carries, shared by all traffic
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
