package org.arbutusfield.admission;

/**
 * A server as the broker is configured to use it.
 *
 * @param upstream name of the server
 * @param failureDomain failure domain in which it stands
 * @param slots requests that it runs at once
 * @param drained true when it must get no new work
 */
public record SlotServer(String upstream, String failureDomain, int slots, boolean drained) {}
