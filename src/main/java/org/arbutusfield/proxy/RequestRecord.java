package org.arbutusfield.proxy;

import java.util.Optional;
import org.arbutusfield.error.ErrorCode;

/**
 * The account of one finished request.
 *
 * @param requestId id of the request
 * @param service name of the service
 * @param requestClass name of the request's class
 * @param outcome how it ended for the caller
 * @param status HTTP status sent to the caller; 0 if none was
 * @param failure the failure that the caller got, if any
 * @param notRun whether it certainly had no effect
 * @param retries tries after the first
 * @param lastTarget name of the upstream or host tried last; empty if none was
 * @param totalNanos nanoseconds from the request's head to the end of its answer
 * @param waitNanos nanoseconds spent in claims and placements
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
        /** The caller got the whole answer of the upstream. */
        WHOLE,
        /** The caller got a typed refusal; the request was not run. */
        REFUSED,
        /** The caller got a typed failure; the request may have run. */
        UNKNOWN,
        /** The answer broke off, and the caller saw its connection break. */
        CUT,
        /** The caller left first. */
        CALLER_GONE
    }
}
