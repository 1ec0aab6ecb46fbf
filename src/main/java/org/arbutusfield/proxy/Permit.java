package org.arbutusfield.proxy;

/** The right to run one request at a place. Thread-safe. */
@FunctionalInterface
public interface Permit {
    /** A permit that nobody counts. */
    Permit NONE = (outcome, serviceNanos) -> {};

    /**
     * Gives the right back. The request path calls this exactly once for each permit it was given.
     *
     * @param outcome how the try ended
     * @param serviceNanos nanoseconds from the first byte sent to the end of the answer; 0 if nothing was sent
     */
    void release(AttemptOutcome outcome, long serviceNanos);
}
