package org.arbutusfield.quota;

import java.time.Duration;

/**
 * The answer to a host that asks to send a request to a limited upstream.
 *
 * @param granted whether the request may be sent
 * @param retryAfter if not, the time after which to ask again
 */
record QuotaDecision(boolean granted, Duration retryAfter) {
    private static final QuotaDecision GRANTED = new QuotaDecision(true, Duration.ZERO);

    static QuotaDecision grant() {
        return GRANTED;
    }

    static QuotaDecision refuse(Duration retryAfter) {
        return new QuotaDecision(false, retryAfter);
    }
}
