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
 */
public record HostEntry(
        String name, String region, String failureDomain, String callerAddress, String controlAddress, int capacity) {}
