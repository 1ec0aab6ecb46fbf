package org.arbutusfield.state;

/**
 * An entry host as it registered itself.
 *
 * @param name its name
 * @param region region that it stands in
 * @param failureDomain failure domain that it stands in
 * @param callerAddress IP:port where it takes callers
 * @param controlAddress IP:port where it takes other hosts' messages
 * @param capacity its share of processors, in thousandths of a core
 */
public record HostEntry(
        String name, String region, String failureDomain, String callerAddress, String controlAddress, int capacity) {}
