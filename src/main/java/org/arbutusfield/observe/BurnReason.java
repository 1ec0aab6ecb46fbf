package org.arbutusfield.observe;

import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.proxy.RequestRecord;

/** The reason why a request counts against its objective. */
public enum BurnReason {
    /** Answered completely, but later than the objective allows. */
    LATE,
    /** Refused by this system; not run. */
    REFUSED,
    /** Refused because the upstream shed it; not run. */
    SHED,
    /** The outcome is unknown. */
    UNKNOWN,
    /** The response broke off. */
    CUT;

    /** The reason for a request that was not answered completely. */
    static BurnReason of(RequestRecord request) {
        return switch (request.outcome()) {
            case CUT -> CUT;
            case REFUSED ->
                request.failure().filter(c -> c == ErrorCode.UPSTREAM_SHED).isPresent() ? SHED : REFUSED;
            default -> UNKNOWN;
        };
    }
}
