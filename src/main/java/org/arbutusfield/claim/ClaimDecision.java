package org.arbutusfield.claim;

import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * What became of a wish to claim a key.
 *
 * @param kind the verdict
 * @param status the first request's HTTP status for {@code COMPLETED}, else 0
 */
public record ClaimDecision(Kind kind, int status) {

    /** The verdicts. */
    public enum Kind {
        /** The key is claimed for the caller, who may run the request. */
        GRANTED,
        /** Another request with the key is running. */
        IN_PROGRESS,
        /** Another request with the key may have run. */
        OUTCOME_UNKNOWN,
        /** Another request with the key was answered. */
        COMPLETED,
        /** No room is left for claims. */
        FULL
    }

    /** A verdict without status. */
    static ClaimDecision of(Kind kind) {
        return new ClaimDecision(kind, 0);
    }

    /** True when the request may run. */
    public boolean granted() {
        return kind == Kind.GRANTED;
    }

    /** The failure that the caller of a request that was not granted sees. */
    public Failure failure(String key) {
        return switch (kind) {
            case IN_PROGRESS -> Failure.of(ErrorCode.KEY_IN_PROGRESS, key);
            case OUTCOME_UNKNOWN -> Failure.of(ErrorCode.KEY_OUTCOME_UNKNOWN, key);
            case COMPLETED -> Failure.of(ErrorCode.KEY_COMPLETED, key, "first answered with status " + status);
            case FULL -> Failure.of(ErrorCode.CLAIM_UNAVAILABLE, key, "no room for further claims");
            case GRANTED -> throw new IllegalStateException("a granted claim is no failure");
        };
    }
}
