package org.arbutusfield.observe;

import java.util.Map;

/**
 * One host's counts of one objective.
 *
 * @param key the objective
 * @param latencyMillis a request is good when answered whole within this time, in milliseconds
 * @param target share of requests that must be good
 * @param windowDays length of the budget's window, in days
 * @param windows counts by window
 * @param burningForSeconds since when bad requests keep coming; -1 when they don't
 */
public record BurnRow(
        ObjectiveKey key,
        long latencyMillis,
        double target,
        int windowDays,
        Map<BurnWindow, BurnCounts> windows,
        long burningForSeconds) {

    /** Copies the map so that the row stays immutable. */
    public BurnRow {
        windows = Map.copyOf(windows);
    }

    /** The counts of a window; none when the row lacks it. */
    public BurnCounts counts(BurnWindow window) {
        return windows.getOrDefault(window, BurnCounts.NONE);
    }
}
