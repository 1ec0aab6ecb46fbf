package org.arbutusfield.quota;

import java.util.Optional;

/**
 * The permission to send one request to an upstream that accepts a limited rate from all hosts together.
 *
 * @param askedNanos monotonic time at which it was asked for
 * @param expiryNanos monotonic time by which the request must have been sent
 * @param version what the leader had heard of limits when it gave it; empty from a leader of an older build
 */
public record QuotaGrant(long askedNanos, long expiryNanos, Optional<LimitVersion> version) {

    /** Returns true once the request may no longer be sent. */
    public boolean expired(long nowNanos) {
        return nowNanos - expiryNanos > 0;
    }
}
