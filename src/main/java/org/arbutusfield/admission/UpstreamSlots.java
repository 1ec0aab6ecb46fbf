package org.arbutusfield.admission;

/**
 * An upstream as configured for the broker.
 *
 * @param upstream name of the upstream
 * @param failureDomain failure domain of the upstream
 * @param slots number of requests that it can run at once
 * @param drained true if it must get no new requests
 */
public record UpstreamSlots(String upstream, String failureDomain, int slots, boolean drained) {}
