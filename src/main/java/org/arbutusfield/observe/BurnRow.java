package org.arbutusfield.observe;

import java.util.Map;

/**
 * The counts of one objective.
 *
 * @param key the objective
 * @param latencyMillis a request is good if it was answered completely within this time, in milliseconds
 * @param target share of requests that must be good
 * @param windowDays length of the window of the error budget, in days
 * @param windows counts by window
 * @param burningForSeconds seconds since the current period of bad requests began; -1 if there is none
 */
public record BurnRow(
        ObjectiveKey key,
        long latencyMillis,
        double target,
        int windowDays,
        Map<BurnWindow, BurnCounts> windows,
        long burningForSeconds) {

    /** Copies the map so that the record is immutable. */
    public BurnRow {
        windows = Map.copyOf(windows);
    }

    /** Returns the counts of a window; zero counts if the row does not have it. */
    public BurnCounts counts(BurnWindow window) {
        return windows.getOrDefault(window, BurnCounts.NONE);
    }
}
