package org.arbutusfield.admission;

/**
 * The request is near the front of the queue: its host may run it on a slot that another of its requests leaves, and
 * tells the broker with a {@link SlotTakeover}. The question stays open until then.
 *
 * @param requestId the waiting request
 * @param host the host that asked
 */
public record SlotPermit(String requestId, String host) implements SlotDecision {}
