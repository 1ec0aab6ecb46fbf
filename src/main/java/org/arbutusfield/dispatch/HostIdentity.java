package org.arbutusfield.dispatch;

/**
 * The identity of this host.
 *
 * @param name unique name
 * @param incarnation increases with each restart
 * @param region its region
 * @param failureDomain its failure domain
 */
public record HostIdentity(String name, long incarnation, String region, String failureDomain) {}
