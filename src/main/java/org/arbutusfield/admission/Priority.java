package org.arbutusfield.admission;

import org.arbutusfield.model.RequestClass;

/** Priority classes in the order in which they are served; the first one is served first and refused last. */
public enum Priority {
    /** Requests that must not be repeated. */
    NON_REPEATABLE,
    /** Repeatable requests that a user is waiting for. */
    INTERACTIVE,
    /** All other requests. */
    BACKGROUND;

    /** Returns the priority of a configured request class. */
    public static Priority of(RequestClass requestClass) {
        if (!requestClass.repeatable()) {
            return NON_REPEATABLE;
        }
        return requestClass.interactive() ? INTERACTIVE : BACKGROUND;
    }
}
