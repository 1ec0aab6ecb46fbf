package org.arbutusfield.admission;

import org.arbutusfield.error.Failure;

/** An action that the host must carry out, as decided by its {@link SlotClient}. */
public sealed interface ClientAction {

    /**
     * Send a message to the broker on a host, which may be this host.
     *
     * @param to name of the host
     * @param message the message
     */
    record Send(String to, BrokerMessage message) implements ClientAction {}

    /**
     * Run the request now. Each request is started at most once.
     *
     * @param requestId id under which the slot was requested
     * @param upstream name of the upstream
     */
    record Start(String requestId, String upstream) implements ClientAction {}

    /**
     * Refuse the request now; it was not run.
     *
     * @param requestId id under which the slot was requested
     * @param failure reason of the refusal
     */
    record Refuse(String requestId, Failure failure) implements ClientAction {}
}
