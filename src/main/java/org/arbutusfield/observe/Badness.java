package org.arbutusfield.observe;

import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.proxy.RequestRecord;

/** Why a request counts against its objective. */
public enum Badness {
    /** Answered whole, but later than the objective allows. */
    LATE,
    /** Refused by this system; not run. */
    REFUSED,
    /** Refused because the upstream shed it; not run. */
    SHED,
    /** The outcome is unknown. */
    UNKNOWN,
    /** The answer broke off. */
    CUT;

    /** Why a request that was not answered whole is bad. */
    static Badness of(RequestRecord request) {
        return switch (request.outcome()) {
            case CUT -> CUT;
            case REFUSED ->
                request.failure().filter(c -> c == ErrorCode.UPSTREAM_SHED).isPresent() ? SHED : REFUSED;
            default -> UNKNOWN;
        };
    }
}
