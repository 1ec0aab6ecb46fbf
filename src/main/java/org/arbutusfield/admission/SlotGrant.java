package org.arbutusfield.admission;

/**
 * Permission to run one request on one upstream.
 *
 * @param requestId id of the slot request
 * @param host the host that may use the slot
 * @param upstream name of the upstream
 * @param token identifies the grant when it is released
 * @param validNanos how long the slot stays reserved without a release or report, in nanoseconds from receipt
 */
public record SlotGrant(String requestId, String host, String upstream, SlotToken token, long validNanos)
        implements SlotDecision {}
