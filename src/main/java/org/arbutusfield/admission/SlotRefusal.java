package org.arbutusfield.admission;

import org.arbutusfield.error.Failure;

/**
 * The request gets no slot; it was not run.
 *
 * @param requestId the request
 * @param host the host that asked
 * @param failure why, with the time after which asking again is worthwhile
 */
public record SlotRefusal(String requestId, String host, Failure failure) implements SlotDecision {}
