package org.arbutusfield.proxy;

/** How one attempt at one target ended, as reported to admission and health tracking. */
public enum AttemptOutcome {
    /** The target responded, with any status. */
    COMPLETED,
    /** The target stated that it did not run the request. */
    SHED,
    /** The target could not be reached, or a new connection to it was lost or timed out. */
    FAILED,
    /** The attempt ended for a reason unrelated to the target's health. */
    CANCELLED
}
