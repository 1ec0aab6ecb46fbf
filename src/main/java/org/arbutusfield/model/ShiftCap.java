package org.arbutusfield.model;

/**
 * A cap on traffic shifted from one region to another.
 *
 * @param service the service
 * @param from region whose callers are moved
 * @param to region that takes them
 * @param maxShare largest share of the service's requests from {@code from}, 0 to 1, that may be moved
 * @param intervalSeconds the share holds over every interval of this length
 * @param maxPerInterval largest count of requests moved in one interval, summed over all hosts
 */
public record ShiftCap(
        String service, String from, String to, double maxShare, int intervalSeconds, long maxPerInterval)
        implements Entity {
    @Override
    public Kind kind() {
        return Kind.SHIFT_CAP;
    }

    @Override
    public String key() {
        return service + "/" + from + ">" + to;
    }
}
