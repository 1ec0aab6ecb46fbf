package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.error.Failure;

/** The permission to run one request at a target. Thread-safe. */
@FunctionalInterface
public interface Permit {
    /** A permit that is not counted. */
    Permit NONE = (outcome, serviceNanos) -> {};

    /**
     * Releases the permit. The request path calls this exactly once for each permit that it was given.
     *
     * @param outcome how the attempt ended
     * @param serviceNanos nanoseconds from the first byte sent to the end of the response; 0 if nothing was sent
     */
    void release(AttemptOutcome outcome, long serviceNanos);

    /** Called when the target stated that it did not run the request. Called before the permit is released. */
    default void refused(Failure failure) {}

    /**
     * Returns why the request must not be sent, if something has changed since it was placed. Called when a connection
     * is open and nothing has been sent; the request is then placed again.
     */
    default Optional<Failure> refusalToSend() {
        return Optional.empty();
    }

    /** Called when the target responded on a connection that was opened for the request. */
    default void reached() {}

    /** Called when no connection to the target could be opened, or a new one was lost before a byte came. */
    default void unreachable() {}

    /** Receives what the target says about itself in its response. Called before the permit is released. */
    default void noticed(UpstreamNotice notice) {}
}
