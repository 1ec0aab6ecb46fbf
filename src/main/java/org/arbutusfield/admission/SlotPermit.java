package org.arbutusfield.admission;

/**
 * Tells a host that its request is near the front of the queue: the host may run it on a slot that another of its
 * requests leaves, and then informs the broker with a {@link SlotTakeover}. The request stays queued until then.
 *
 * @param requestId the queued request
 * @param host the host that sent it
 */
public record SlotPermit(String requestId, String host) implements SlotDecision {}
