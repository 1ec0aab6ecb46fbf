package org.arbutusfield.admission;

/**
 * A host ends one request and at once runs a waiting one on the same slot.
 *
 * @param release the use of the slot that ended
 * @param requestId the waiting request that runs now, as the broker knows it
 * @param requestClass name of its class
 * @param remainingNanos time until its deadline, in nanoseconds
 */
public record SlotTakeover(SlotRelease release, String requestId, String requestClass, long remainingNanos)
        implements BrokerMessage {}
