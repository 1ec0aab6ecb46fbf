package org.arbutusfield.share;

/**
 * The limit of a team over all hosts.
 *
 * @param ratePerSecond requests per second; more than 0
 * @param burst requests beyond the rate; 0 or more
 */
public record TeamLimit(double ratePerSecond, double burst) {
    /** Returns the part of a rate granted under another limit that this one permits; at most 1. */
    double rateFactor(TeamLimit from) {
        return factor(ratePerSecond, from.ratePerSecond);
    }

    /** Returns the part of a burst granted under another limit that this one permits; at most 1. */
    double burstFactor(TeamLimit from) {
        return factor(burst, from.burst);
    }

    /** Returns true if both figures are finite and not negative. */
    boolean valid() {
        return usable(ratePerSecond) && usable(burst);
    }

    /** Returns true if a figure of a message is finite and not negative. */
    static boolean usable(double value) {
        return Double.isFinite(value) && value >= 0;
    }

    private static double factor(double to, double from) {
        return to >= from ? 1 : to / from;
    }
}
