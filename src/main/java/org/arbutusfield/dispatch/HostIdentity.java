package org.arbutusfield.dispatch;

/**
 * This host as admission names it.
 *
 * @param name unique name
 * @param incarnation grows with each restart
 * @param region its region
 * @param failureDomain its failure domain
 */
public record HostIdentity(String name, long incarnation, String region, String failureDomain) {}
