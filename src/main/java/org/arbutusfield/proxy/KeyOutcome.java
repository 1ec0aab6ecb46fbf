package org.arbutusfield.proxy;

/**
 * What became of a request that carried an idempotency key.
 *
 * @param kind what is known
 * @param status the upstream's HTTP status for {@code ANSWERED}, else 0
 */
public record KeyOutcome(Kind kind, int status) {
    private static final KeyOutcome NOT_RUN = new KeyOutcome(Kind.NOT_RUN, 0);
    private static final KeyOutcome UNKNOWN = new KeyOutcome(Kind.UNKNOWN, 0);

    /** What is known of a request's execution. */
    public enum Kind {
        /** It certainly had no effect; the key may be used again. */
        NOT_RUN,
        /** The upstream answered it. */
        ANSWERED,
        /** It may have run. */
        UNKNOWN
    }

    /** The request certainly had no effect. */
    public static KeyOutcome notRun() {
        return NOT_RUN;
    }

    /** The upstream answered with this status. */
    public static KeyOutcome answered(int status) {
        return new KeyOutcome(Kind.ANSWERED, status);
    }

    /** The request may have run. */
    public static KeyOutcome unknown() {
        return UNKNOWN;
    }
}
