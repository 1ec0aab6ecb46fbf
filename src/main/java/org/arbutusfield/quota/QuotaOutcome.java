package org.arbutusfield.quota;

/** How a question for the permission to send a request ended. */
public enum QuotaOutcome {
    /** The request may be sent. */
    GRANTED,
    /** The rate is used up. */
    REFUSED,
    /** No host leads, as far as this one knows, or the leader did not answer. */
    NO_LEADER
}
