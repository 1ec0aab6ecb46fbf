package org.arbutusfield.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The burn of all objectives, summed over all hosts that responded.
 *
 * @param rows one row for each objective and region, sorted
 * @param hosts names of the hosts whose counts are included
 * @param silent admin addresses that did not respond, and whose requests are missing from the rows
 */
public record BurnReport(List<BurnRow> rows, List<String> hosts, List<String> silent) {
    /** Copies the lists so that the record is immutable. */
    public BurnReport {
        rows = List.copyOf(rows);
        hosts = List.copyOf(hosts);
        silent = List.copyOf(silent);
    }

    /**
     * Merges the counts of the hosts. A process that responded twice is counted once.
     *
     * @param hostBurns counts received from the hosts
     * @param silent admin addresses that did not respond
     */
    public static BurnReport merge(Collection<HostBurn> hostBurns, List<String> silent) {
        Set<String> processes = new HashSet<>();
        List<String> hosts = new ArrayList<>();
        Map<ObjectiveKey, BurnRow> rows = new TreeMap<>();
        for (HostBurn hostBurn : hostBurns) {
            if (!processes.add(hostBurn.host() + "/" + hostBurn.incarnation())) {
                continue;
            }
            hosts.add(hostBurn.host());
            hostBurn.rows().forEach(row -> rows.merge(row.key(), row, BurnReport::sum));
        }
        return new BurnReport(List.copyOf(rows.values()), hosts, silent);
    }

    private static BurnRow sum(BurnRow first, BurnRow second) {
        Map<BurnWindow, BurnCounts> windows = new EnumMap<>(BurnWindow.class);
        for (BurnWindow window : BurnWindow.values()) {
            windows.put(window, first.counts(window).plus(second.counts(window)));
        }
        long burning = Math.max(first.burningForSeconds(), second.burningForSeconds());
        return new BurnRow(first.key(), first.latencyMillis(), first.target(), first.windowDays(), windows, burning);
    }
}
