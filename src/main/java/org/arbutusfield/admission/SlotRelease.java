package org.arbutusfield.admission;

/**
 * Releases a slot.
 *
 * @param token identifies the use that ends
 * @param outcome how the request ended on the upstream
 * @param serviceNanos time from sending the request to the end of its response, in nanoseconds
 */
public record SlotRelease(SlotToken token, Outcome outcome, long serviceNanos) implements BrokerMessage {

    /** How a request ended on its upstream. */
    public enum Outcome {
        /** The whole response arrived. */
        COMPLETED,
        /** The upstream shed the request. */
        SHED,
        /** The upstream could not be reached, or the connection was lost. */
        FAILED,
        /** The host cancelled the request or never used the slot. */
        CANCELLED
    }
}
