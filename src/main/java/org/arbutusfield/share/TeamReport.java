package org.arbutusfield.share;

/**
 * What a host reports of one team.
 *
 * @param team name of the team
 * @param number number of the report; increases with each report of the process
 * @param demandPerSecond requests per second that callers ask for
 * @param rate rate of the share that it holds, in requests per second
 * @param burst burst of the share that it holds
 * @param remainingMillis time until the share ends, in milliseconds
 * @param wanted requests that wait for a token
 * @param returned tokens that the host gives back
 * @param limit limit under which the share was granted
 */
record TeamReport(
        String team,
        long number,
        double demandPerSecond,
        double rate,
        double burst,
        int remainingMillis,
        int wanted,
        double returned,
        TeamLimit limit) {

    /** Returns true if all figures are finite and not negative. */
    boolean valid() {
        return TeamLimit.usable(demandPerSecond)
                && TeamLimit.usable(rate)
                && TeamLimit.usable(burst)
                && TeamLimit.usable(returned)
                && limit.valid()
                && wanted >= 0
                && remainingMillis >= 0;
    }
}
