package org.arbutusfield.lab.soak;

/**
 * A promise that was broken.
 *
 * @param promise which one
 * @param subject id of the request, or name of the host
 * @param detail what was seen
 */
public record Violation(Guarantee promise, String subject, String detail) {
    /** What the soak checks. */
    public enum Guarantee {
        /** A success is whole, carries the upstream's proof and belongs to its request. */
        WHOLE_ANSWER,
        /** Upstreams run only requests that callers sent. */
        ASKED_FOR,
        /** A request that may not be repeated runs once at most. */
        AT_MOST_ONCE,
        /** A request that was refused as not run has not run and never does. */
        NOT_RUN,
        /** A draining upstream gets nothing once the change must be in force. */
        DRAINED,
        /** New routes are in force in time, and a host does not go back to older ones. */
        ROUTES_IN_FORCE,
        /** A graceful stop cuts no request short, and ends the process with status 0. */
        GRACEFUL_STOP,
        /** Processes end only when they are told to. */
        ALIVE,
        /** Callers are served again once the faults are over. */
        RECOVERED
    }
}
