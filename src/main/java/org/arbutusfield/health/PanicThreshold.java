package org.arbutusfield.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps wrong health data from emptying a region.
 *
 * <p>When more than {@link #MAX_EXCLUDED_SHARE} of a region's servers are without work, it is likelier that the data
 * are wrong than that they all fail at once. Then every server whose exclusion rests on slowness or hearsay is used
 * again, and of those with failures on fresh connections as many, the most trusted first, as the floor needs. A wrong
 * choice there costs a failed connection, which is retried elsewhere because nothing was run.
 */
public final class PanicThreshold {
    /** Largest share of a region's servers that health data may exclude. */
    public static final double MAX_EXCLUDED_SHARE = 0.5;

    private static final double FLOOR_SHARE = 0.25;

    private PanicThreshold() {}

    /**
     * Share of work for each server of one region.
     *
     * @param group health by name of server
     * @param nowNanos monotonic time
     * @return share by name, 0 to 1; at least half of the names have a share above 0
     */
    public static Map<String, Double> shares(Map<String, UpstreamHealth> group, long nowNanos) {
        Map<String, Double> shares = new TreeMap<>();
        group.forEach((name, health) -> shares.put(name, health.share(nowNanos)));
        List<String> excluded = new ArrayList<>();
        for (Map.Entry<String, UpstreamHealth> entry : group.entrySet()) {
            UpstreamHealth.State state = entry.getValue().asOf(nowNanos).state();
            if (state == UpstreamHealth.State.EJECTED || state == UpstreamHealth.State.PROBING) {
                excluded.add(entry.getKey());
            }
        }
        int most = (int) Math.floor(group.size() * MAX_EXCLUDED_SHARE);
        if (excluded.size() <= most) {
            return shares;
        }
        excluded.sort(Comparator.comparing((String name) -> group.get(name).hardFailure())
                .thenComparingInt(name -> group.get(name).ejections())
                .thenComparing(Comparator.naturalOrder()));
        int back = 0;
        for (String name : excluded) {
            if (group.get(name).hardFailure() && excluded.size() - back <= most) {
                break;
            }
            shares.put(name, Math.max(FLOOR_SHARE, shares.get(name)));
            back++;
        }
        return shares;
    }
}
