package org.arbutusfield.share;

import java.time.Duration;

/** Times on which lender and hosts agree. */
final class ShareTimes {
    /** A share survives an outage of the store (4.5 s), or the time until the next leader (4.5 s). */
    static final Duration VALIDITY = Duration.ofSeconds(8);
    /** Tokens for waiting requests end with the longest wait of a request. */
    static final Duration TOKEN_VALIDITY = Duration.ofMillis(150);
    /** An answer that takes longer, because the host was paused, is not applied. */
    static final Duration ANSWER_LIMIT = Duration.ofMillis(300);
    /** The difference allowed between the clocks of lender and host. */
    private static final double DRIFT = 0.1;

    static final long LENT_NANOS = withDrift(VALIDITY);
    static final long TOKEN_LENT_NANOS = withDrift(TOKEN_VALIDITY);

    private ShareTimes() {}

    private static long withDrift(Duration time) {
        return (long) (time.toNanos() * (1 + DRIFT));
    }
}
