package org.arbutusfield.follow;

/**
 * An entry host as it registered itself.
 *
 * @param name its name
 * @param region region that it stands in
 * @param failureDomain failure domain that it stands in
 * @param callerAddress IP:port where it takes callers
 */
public record HostEntry(String name, String region, String failureDomain, String callerAddress) {}
