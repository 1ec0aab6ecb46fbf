package org.arbutusfield.state;

/**
 * The entry that an entry host registers in the store.
 *
 * @param name name of the host
 * @param region region of the host
 * @param failureDomain failure domain of the host
 * @param callerAddress IP:port where it accepts callers
 * @param controlAddress IP:port where it accepts messages of other hosts
 * @param capacity its share of processors, in thousandths of a core
 * @param reachesUpstreams false while it is cut off from the upstreams of all services
 */
public record HostEntry(
        String name,
        String region,
        String failureDomain,
        String callerAddress,
        String controlAddress,
        int capacity,
        boolean reachesUpstreams) {

    /** Creates the entry of a host that reaches upstreams. */
    public HostEntry(
            String name,
            String region,
            String failureDomain,
            String callerAddress,
            String controlAddress,
            int capacity) {
        this(name, region, failureDomain, callerAddress, controlAddress, capacity, true);
    }

    /** A copy that tells whether the host reaches upstreams. */
    public HostEntry withReachesUpstreams(boolean reaches) {
        return new HostEntry(name, region, failureDomain, callerAddress, controlAddress, capacity, reaches);
    }
}
