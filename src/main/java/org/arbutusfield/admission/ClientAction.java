package org.arbutusfield.admission;

import org.arbutusfield.error.Failure;

/** What a host must do next, as decided by its {@link SlotClient}. */
public sealed interface ClientAction {

    /**
     * Send a message to the broker on a host, which may be this host.
     *
     * @param to name of the host
     * @param message the message
     */
    record Send(String to, BrokerMessage message) implements ClientAction {}

    /**
     * Run the request now; the only start this request gets.
     *
     * @param requestId the request as it was asked for
     * @param upstream name of the server
     */
    record Start(String requestId, String upstream) implements ClientAction {}

    /**
     * Refuse the request now; it was not run.
     *
     * @param requestId the request as it was asked for
     * @param failure why
     */
    record Refuse(String requestId, Failure failure) implements ClientAction {}
}
