package org.arbutusfield.proxy;

/**
 * The outcome of a request with an idempotency key.
 *
 * @param kind what is known of the execution
 * @param status the upstream's HTTP status for {@code ANSWERED}, else 0
 */
public record KeyOutcome(Kind kind, int status) {
    private static final KeyOutcome NOT_RUN = new KeyOutcome(Kind.NOT_RUN, 0);
    private static final KeyOutcome UNKNOWN = new KeyOutcome(Kind.UNKNOWN, 0);

    /** What is known about the execution of a request. */
    public enum Kind {
        /** The request had no effect; the key may be used again. */
        NOT_RUN,
        /** The upstream responded. */
        ANSWERED,
        /** The request may have run. */
        UNKNOWN
    }

    /** Outcome of a request that had no effect. */
    public static KeyOutcome notRun() {
        return NOT_RUN;
    }

    /** Outcome of a request to which the upstream responded with this status. */
    public static KeyOutcome answered(int status) {
        return new KeyOutcome(Kind.ANSWERED, status);
    }

    /** Outcome of a request that may have run. */
    public static KeyOutcome unknown() {
        return UNKNOWN;
    }
}
