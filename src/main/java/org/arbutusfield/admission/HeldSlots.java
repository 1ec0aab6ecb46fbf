package org.arbutusfield.admission;

import java.util.List;

/**
 * A host's report of all slots that it holds, sent to a new broker and at regular intervals to extend the reservations.
 *
 * @param host the reporting host
 * @param hostIncarnation incarnation of the host
 * @param slots the slots in use, whichever broker granted them
 */
public record HeldSlots(String host, long hostIncarnation, List<Held> slots) implements BrokerMessage {

    /** Copies the list so that the report is immutable. */
    public HeldSlots {
        slots = List.copyOf(slots);
    }

    /**
     * One slot in use.
     *
     * @param token token of the present use of the slot
     * @param requestId the running request
     * @param requestClass name of the request's class
     * @param upstream name of the upstream
     * @param remainingNanos time until the request's deadline, in nanoseconds
     */
    public record Held(SlotToken token, String requestId, String requestClass, String upstream, long remainingNanos) {}
}
