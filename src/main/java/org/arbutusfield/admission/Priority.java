package org.arbutusfield.admission;

import org.arbutusfield.model.RequestClass;

/** Order in which waiting requests are served; the first constant goes first and is refused last. */
public enum Priority {
    /** Requests that may not be repeated. */
    NON_REPEATABLE,
    /** Repeatable requests that a person waits for. */
    INTERACTIVE,
    /** Everything else. */
    BACKGROUND;

    /** The priority of a configured request class. */
    public static Priority of(RequestClass requestClass) {
        if (!requestClass.repeatable()) {
            return NON_REPEATABLE;
        }
        return requestClass.interactive() ? INTERACTIVE : BACKGROUND;
    }
}
