package org.arbutusfield.proxy;

/** A claimed idempotency key. Thread-safe. */
@FunctionalInterface
public interface KeyClaim {
    /**
     * Tells what became of the request; called exactly once, does not block, and nothing waits for its effect.
     *
     * @param outcome what is known
     */
    void complete(KeyOutcome outcome);
}
