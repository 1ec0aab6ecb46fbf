package org.arbutusfield.proxy;

/** A claimed idempotency key. Thread-safe. */
@FunctionalInterface
public interface KeyClaim {
    /**
     * Reports the outcome of the request. Called exactly once; does not block, and the caller does not wait for the
     * outcome to be stored.
     *
     * @param outcome outcome of the request
     */
    void complete(KeyOutcome outcome);
}
