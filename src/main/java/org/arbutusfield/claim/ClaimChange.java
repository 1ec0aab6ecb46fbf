package org.arbutusfield.claim;

/**
 * A change that a host makes to a claim. Applying it twice has no further effect.
 *
 * @param kind what to do
 * @param key the idempotency key
 * @param holder host and incarnation that makes the change
 * @param sequence number of the claim within the holder
 * @param status the upstream's HTTP status for {@code COMPLETE}, else 0
 */
public record ClaimChange(Kind kind, ClaimKey key, String holder, int sequence, int status) {

    /** The kinds of changes. */
    public enum Kind {
        /** Claim the key. */
        BEGIN,
        /** Remove the claim: the request was not run. */
        REMOVE,
        /** Record that the upstream responded. */
        COMPLETE,
        /** Record that the request may have run. */
        MARK_UNKNOWN
    }

    /** True if this change and the claim belong to the same call of {@link ClaimService#claim}. */
    boolean sameCall(Claim claim) {
        return claim.holder().equals(holder) && claim.sequence() == sequence;
    }
}
