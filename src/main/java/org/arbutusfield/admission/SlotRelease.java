package org.arbutusfield.admission;

/**
 * A host gives a slot back.
 *
 * @param token the grant that ends
 * @param outcome how the request ended on the server
 * @param serviceNanos time from sending the request to the end of its answer, in nanoseconds
 */
public record SlotRelease(SlotToken token, Outcome outcome, long serviceNanos) implements BrokerMessage {

    /** How a request ended on its server. */
    public enum Outcome {
        /** The whole answer arrived. */
        COMPLETED,
        /** The server shed the request. */
        SHED,
        /** The server could not be reached or broke off. */
        FAILED,
        /** The host ended the request or never used the slot. */
        CANCELLED
    }
}
