package org.arbutusfield.admission;

import org.arbutusfield.error.Failure;

/**
 * The request gets no slot and was not run.
 *
 * @param requestId id of the slot request
 * @param host the host that sent it
 * @param failure the reason, with the time after which a retry is worthwhile
 */
public record SlotRefusal(String requestId, String host, Failure failure) implements SlotDecision {}
