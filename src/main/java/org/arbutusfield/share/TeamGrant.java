package org.arbutusfield.share;

import java.time.Duration;

/**
 * The lender's answer for one team.
 *
 * @param team name of the team
 * @param number number of the report that it answers
 * @param rate rate of the share, in requests per second
 * @param burst burst of the share
 * @param filled tokens that the share gains with its burst
 * @param tokens tokens for waiting requests
 * @param retryAfter time after which a request without a token may get one
 * @param limit limit that the lender knows
 */
record TeamGrant(
        String team,
        long number,
        double rate,
        double burst,
        double filled,
        int tokens,
        Duration retryAfter,
        TeamLimit limit) {

    /** Returns true if all figures are finite and not negative. */
    boolean valid() {
        return TeamLimit.usable(rate)
                && TeamLimit.usable(burst)
                && TeamLimit.usable(filled)
                && tokens >= 0
                && limit.valid()
                && !retryAfter.isNegative();
    }
}
