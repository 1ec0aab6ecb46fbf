package org.arbutusfield.admission;

/**
 * A host has finished one request and at once runs a queued one on the same slot.
 *
 * @param release the use of the slot that ended
 * @param requestId id under which the broker queued the request that runs now
 * @param requestClass name of its class
 * @param remainingNanos time until its deadline, in nanoseconds
 */
public record SlotTakeover(SlotRelease release, String requestId, String requestClass, long remainingNanos)
        implements BrokerMessage {}
