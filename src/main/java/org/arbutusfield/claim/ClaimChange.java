package org.arbutusfield.claim;

/**
 * A change that a host wants to make to a claim. Making it twice has no further effect.
 *
 * @param kind what to do
 * @param key the key
 * @param holder host and incarnation that makes the change
 * @param sequence number of the claim within the holder
 * @param status the upstream's HTTP status for {@code COMPLETE}, else 0
 */
public record ClaimChange(Kind kind, ClaimKey key, String holder, int sequence, int status) {

    /** The changes of a claim. */
    public enum Kind {
        /** Claim the key. */
        BEGIN,
        /** Give the key back: the request was not run. */
        REMOVE,
        /** The request was answered. */
        COMPLETE,
        /** The request may have run. */
        MARK_UNKNOWN
    }

    /** True when the claim was made by the same call. */
    boolean sameCall(Claim claim) {
        return claim.holder().equals(holder) && claim.sequence() == sequence;
    }
}
