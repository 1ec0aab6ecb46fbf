package org.arbutusfield.proxy;

import java.net.InetSocketAddress;
import org.arbutusfield.error.Failure;

/** Observes requests and the connections to upstreams. Thread-safe; does not block. */
@FunctionalInterface
public interface RequestObserver {
    /** Ignores all events. */
    RequestObserver NONE = record -> {};

    /** Called once for each request that was accepted for a service, on its event loop. */
    void finished(RequestRecord record);

    /** Called when a request is refused before it was accepted for a service. */
    default void refused(String requestId, Failure failure) {
        // Optional: only request logs use this event.
    }

    /**
     * Called when an attempt ended without a response for the caller.
     *
     * @param requestId id of the request
     * @param target name of the upstream or host
     * @param failure how the attempt ended
     * @param notRun whether the request was certainly not run there
     */
    default void attemptFailed(String requestId, String target, Failure failure, boolean notRun) {
        // Optional: only request logs use this event.
    }

    /** Called when a connection to an upstream was lost while the upstream may have been running a request. */
    default void runInterrupted(InterruptedRun run) {
        // Optional: only hosts that look for the requests that end upstreams use this event.
    }

    /**
     * Called when connections tell that an upstream may have ended or started again; the cause may also be the network.
     *
     * @param upstream address of the upstream
     */
    default void upstreamMayHaveRestarted(InetSocketAddress upstream) {
        // Optional: only hosts that read the upstreams' states from a store use this event.
    }
}
