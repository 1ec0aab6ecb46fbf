package org.arbutusfield.admission;

import java.util.List;

/**
 * All slots that a host holds, told to a broker that took over or to extend the reservations.
 *
 * @param host the reporting host
 * @param hostIncarnation incarnation of the host
 * @param slots the slots in use, granted by whichever broker
 */
public record HeldSlots(String host, long hostIncarnation, List<Held> slots) implements BrokerMessage {

    /** Copies the list so that the report stays immutable. */
    public HeldSlots {
        slots = List.copyOf(slots);
    }

    /**
     * One slot in use.
     *
     * @param token the grant
     * @param requestId the request that runs
     * @param requestClass name of the request's class
     * @param upstream name of the server
     * @param remainingNanos time until the request's deadline, in nanoseconds
     */
    public record Held(SlotToken token, String requestId, String requestClass, String upstream, long remainingNanos) {}
}
