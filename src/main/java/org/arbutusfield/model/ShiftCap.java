package org.arbutusfield.model;

/**
 * A limit on the traffic shifted from one region to another.
 *
 * @param service name of the service
 * @param from name of the region whose requests are shifted
 * @param to name of the region they are shifted to
 * @param maxShare maximum share of the service's requests from {@code from} that may be shifted, 0 to 1
 * @param intervalSeconds interval length, in seconds; both limits hold over every interval of this length
 * @param maxPerInterval maximum number of requests shifted in one interval, summed over all hosts
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
