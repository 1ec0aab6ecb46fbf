package org.arbutusfield.shift;

import java.util.List;
import java.util.Optional;

/**
 * What a host knows when it chooses a region for a caller of its home region. Immutable.
 *
 * @param latencyWeight weight of latency in the service's objective
 * @param headroomWeight weight of headroom in the service's objective
 * @param home the home region, whose figures come from its own broker
 * @param others regions that movement rules allow
 */
public record SpillView(double latencyWeight, double headroomWeight, Option home, List<Option> others) {
    /** Copies the list so that the view is immutable. */
    public SpillView {
        others = List.copyOf(others);
    }

    /**
     * One region that could run the request.
     *
     * @param region the region
     * @param preference preference of the movement rule; lower goes first at equal cost
     * @param oneWayMillis delay of the link in one direction, in milliseconds; 0 for home
     * @param headroom latest figures; empty if none have arrived yet
     * @param drained whether a drain covers the region
     * @param permitted whether caps and link budgets allow one more request
     * @param shareLimit largest share of the home region's requests that cold caches and caps allow there, 0 to 1
     */
    public record Option(
            String region,
            int preference,
            double oneWayMillis,
            Optional<RegionHeadroom> headroom,
            boolean drained,
            boolean permitted,
            double shareLimit) {}
}
