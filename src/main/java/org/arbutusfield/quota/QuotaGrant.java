package org.arbutusfield.quota;

/**
 * The permission to send one request to an upstream that accepts a limited rate from all hosts together.
 *
 * @param expiryNanos monotonic time by which the request must have been sent
 */
public record QuotaGrant(long expiryNanos) {

    /** Returns true once the request may no longer be sent. */
    public boolean expired(long nowNanos) {
        return nowNanos - expiryNanos > 0;
    }
}
