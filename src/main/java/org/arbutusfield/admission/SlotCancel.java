package org.arbutusfield.admission;

/**
 * Ends a question whose grant, if any, will not be used.
 *
 * @param requestId the id under which the slot was asked for
 */
public record SlotCancel(String requestId) implements BrokerMessage {}
