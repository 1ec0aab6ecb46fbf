package org.arbutusfield.proxy;

/** How one try at one place ended, as admission and health see it. */
public enum AttemptOutcome {
    /** The place answered, whatever the status. */
    COMPLETED,
    /** The place stated that it did not run the request. */
    SHED,
    /** The place could not be reached, or a fresh connection to it was lost or silent. */
    FAILED,
    /** The try ended for a reason that says nothing about the place. */
    CANCELLED
}
