package org.arbutusfield.proxy;

/** A claimed idempotency key. Thread-safe. */
@FunctionalInterface
public interface KeyTicket {
    /**
     * Tells what became of the request; called exactly once, does not block, and nothing waits for its effect.
     *
     * @param outcome what is known
     */
    void finished(KeyOutcome outcome);
}
