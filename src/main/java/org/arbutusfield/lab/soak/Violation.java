package org.arbutusfield.lab.soak;

/**
 * A violated guarantee.
 *
 * @param promise the guarantee; printed under this name
 * @param subject id of the request, or name of the host
 * @param detail what was observed
 */
public record Violation(Guarantee promise, String subject, String detail) {
    /** The guarantees that the soak test checks. */
    public enum Guarantee {
        /** A successful response is complete, carries the upstream's seal header and belongs to its request. */
        WHOLE_ANSWER,
        /** Upstreams run only requests that callers sent. */
        ASKED_FOR,
        /** A request that may not be repeated runs at most once. */
        AT_MOST_ONCE,
        /** A request that was refused as not run has not run and never will. */
        NOT_RUN,
        /** A request that has ended three upstreams reaches few more once all hosts must know. */
        CRASHES_CONTAINED,
        /** A draining upstream receives no requests once the change must be in force. */
        DRAINED,
        /** New routes are in force in time, and a host does not return to older ones. */
        ROUTES_IN_FORCE,
        /** A graceful stop cuts no request short, and the process exits with status 0. */
        GRACEFUL_STOP,
        /** Processes exit only when told to. */
        ALIVE,
        /** Callers are served again after the faults have ended. */
        RECOVERED
    }
}
