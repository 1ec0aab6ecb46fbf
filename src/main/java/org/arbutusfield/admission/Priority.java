package org.arbutusfield.admission;

import org.arbutusfield.model.RequestClass;

/** Order in which waiting requests are served; the first constant goes first and is refused last. */
public enum Priority {
    /** Requests that may not be repeated. */
    BOOKING,
    /** Repeatable requests that a person waits for. */
    INTERACTIVE,
    /** Everything else. */
    LEISURE;

    /** The priority of a configured request class. */
    public static Priority of(RequestClass requestClass) {
        if (!requestClass.repeatable()) {
            return BOOKING;
        }
        return requestClass.interactive() ? INTERACTIVE : LEISURE;
    }
}
