package org.arbutusfield.team;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A team, whose callers share one limit over all hosts.
 *
 * @param name name of the team
 * @param priority rank of its requests, 0 is the most urgent; empty if the rank of the route holds
 * @param ratePerSecond requests per second that all hosts together may send for it; 0 if it has no limit
 * @param burst requests that may be sent beyond the rate
 * @param allowedRegions regions that may serve it; empty if all may
 */
public record Team(String name, OptionalInt priority, double ratePerSecond, double burst, Set<String> allowedRegions) {

    /** Makes the record immutable by copying the regions. */
    public Team {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Returns true if the team's requests are limited. */
    public boolean limited() {
        return ratePerSecond > 0;
    }

    /** Returns true when an upstream in the region may serve the team. */
    public boolean allows(String region) {
        return allowedRegions.isEmpty() || allowedRegions.contains(region);
    }
}
