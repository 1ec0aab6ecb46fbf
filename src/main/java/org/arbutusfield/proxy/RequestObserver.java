package org.arbutusfield.proxy;

import org.arbutusfield.error.Failure;

/** Gets the account of each finished request. Thread-safe; does not block. */
@FunctionalInterface
public interface RequestObserver {
    /** Observes nothing. */
    RequestObserver NONE = record -> {};

    /** Called once for each request that was taken for a service, on its event loop. */
    void finished(RequestRecord record);

    /** Called when a request is refused before it was taken for a service. */
    default void refused(String requestId, Failure failure) {
        // Only logs have a use for it.
    }

    /**
     * Called when a try of a request ended without an answer for the caller.
     *
     * @param requestId id of the request
     * @param place name of the upstream or host
     * @param failure how it ended
     * @param notRun whether it certainly was not run there
     */
    default void attemptFailed(String requestId, String place, Failure failure, boolean notRun) {
        // Only logs have a use for it.
    }
}
