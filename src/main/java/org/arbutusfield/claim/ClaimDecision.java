package org.arbutusfield.claim;

import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The result of an attempt to claim an idempotency key.
 *
 * @param kind the kind of result
 * @param status the first request's HTTP status for {@code COMPLETED}, else 0
 */
public record ClaimDecision(Kind kind, int status) {

    /** The kinds of results. */
    public enum Kind {
        /** The key is claimed and its request may run. */
        GRANTED,
        /** Another request with the key is running. */
        IN_PROGRESS,
        /** Another request with the key may have run. */
        OUTCOME_UNKNOWN,
        /** Another request with the key has completed. */
        COMPLETED,
        /** There is no room for further claims. */
        FULL
    }

    /** Returns a decision without a status. */
    static ClaimDecision of(Kind kind) {
        return new ClaimDecision(kind, 0);
    }

    /** True if the request may run. */
    public boolean granted() {
        return kind == Kind.GRANTED;
    }

    /** The failure to return to a caller whose request was not granted. */
    public Failure failure(String key) {
        return switch (kind) {
            case IN_PROGRESS -> Failure.of(ErrorCode.KEY_IN_PROGRESS, key);
            case OUTCOME_UNKNOWN -> Failure.of(ErrorCode.KEY_OUTCOME_UNKNOWN, key);
            case COMPLETED -> Failure.of(ErrorCode.KEY_COMPLETED, key, "first answered with status " + status);
            case FULL -> Failure.of(ErrorCode.CLAIM_UNAVAILABLE, key, "no room for further claims");
            case GRANTED -> throw new IllegalStateException("a granted claim has no failure");
        };
    }
}
