package org.arbutusfield.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Limits how many upstreams of a region may be excluded because of health data.
 *
 * <p>When more than {@link #MAX_EXCLUDED_SHARE} of a region's upstreams are excluded, it is more likely that the health
 * data are wrong than that all of these upstreams fail at once. Then every upstream that was not excluded for a failure
 * on a new connection is used again. Of the upstreams with such a failure, as many are used again as the limit
 * requires, those with the fewest ejections first. A wrong choice among them costs a failed connection, and the request
 * is retried elsewhere because it was not run.
 */
public final class PanicThreshold {
    /** Maximum share of a region's upstreams that health data may exclude. */
    public static final double MAX_EXCLUDED_SHARE = 0.5;

    private static final double MIN_RESTORED_SHARE = 0.25;

    private PanicThreshold() {}

    /**
     * Returns the share of work for each upstream of one region.
     *
     * @param group health by upstream name
     * @param nowNanos monotonic time
     * @return share by upstream name, 0 to 1; at least half of the upstreams have a share above 0
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
        int maxExcluded = (int) Math.floor(group.size() * MAX_EXCLUDED_SHARE);
        if (excluded.size() <= maxExcluded) {
            return shares;
        }
        excluded.sort(Comparator.comparing((String name) -> group.get(name).hardFailure())
                .thenComparingInt(name -> group.get(name).ejections())
                .thenComparing(Comparator.naturalOrder()));
        int restored = 0;
        for (String name : excluded) {
            if (group.get(name).hardFailure() && excluded.size() - restored <= maxExcluded) {
                break;
            }
            shares.put(name, Math.max(MIN_RESTORED_SHARE, shares.get(name)));
            restored++;
        }
        return shares;
    }
}
