package org.arbutusfield.admission;

/**
 * Cancels a slot request; a grant for it will not be used.
 *
 * @param requestId id of the slot request
 */
public record SlotCancel(String requestId) implements BrokerMessage {}
