package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.error.ErrorCode;

/**
 * Data about one finished request.
 *
 * @param requestId id of the request
 * @param service name of the service
 * @param requestClass name of the request's class
 * @param outcome how the request ended for the caller
 * @param status HTTP status sent to the caller; 0 if none was
 * @param failure code of the failure reported to the caller, if any
 * @param notRun whether the request certainly had no effect
 * @param retries attempts after the first
 * @param lastTarget name of the upstream or host of the last attempt; empty if there was none
 * @param totalNanos nanoseconds from the request's head to the end of its response
 * @param waitNanos nanoseconds spent waiting for placements
 * @param bytesIn body bytes received from the caller
 * @param bytesOut body bytes sent to the caller
 */
public record RequestRecord(
        String requestId,
        String service,
        String requestClass,
        Result outcome,
        int status,
        Optional<ErrorCode> failure,
        boolean notRun,
        int retries,
        String lastTarget,
        long totalNanos,
        long waitNanos,
        long bytesIn,
        long bytesOut) {

    /** How a request ended for its caller. */
    public enum Result {
        /** The caller received the complete response of the upstream. */
        WHOLE,
        /** The caller received a problem document; the request was not run. */
        REFUSED,
        /** The caller received a problem document; the request may have run. */
        UNKNOWN,
        /** The response broke off, and the connection to the caller was reset. */
        CUT,
        /** The caller disconnected first. */
        CALLER_GONE
    }
}
