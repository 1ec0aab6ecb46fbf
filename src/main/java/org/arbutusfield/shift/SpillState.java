package org.arbutusfield.shift;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * The fraction of the home region's requests that goes to each other region first, and the regions that have just
 * refused a request. Immutable.
 *
 * @param fractions fraction by region, 0 to 1; their sum is at most 1
 * @param refusedUntilNanos regions that must not be tried before the given time
 */
public record SpillState(Map<String, Double> fractions, Map<String, Long> refusedUntilNanos) {
    private static final long REFUSAL_NANOS = Duration.ofMillis(3).toNanos();

    /** Copies the maps so that the state is immutable. */
    public SpillState {
        fractions = Map.copyOf(fractions);
        refusedUntilNanos = Map.copyOf(refusedUntilNanos);
    }

    /** Returns the state in which all requests stay at home. */
    public static SpillState initial() {
        return new SpillState(Map.of(), Map.of());
    }

    /** Fraction of requests that goes to the region first. */
    public double fraction(String region) {
        return fractions.getOrDefault(region, 0.0);
    }

    /** True if the region must not be tried yet after its last refusal. */
    public boolean refused(String region, long nowNanos) {
        return refusedUntilNanos.getOrDefault(region, Long.MIN_VALUE) > nowNanos;
    }

    /** Returns the state after the region refused a request. */
    public SpillState withRefusal(String region, long nowNanos) {
        Map<String, Long> until = new TreeMap<>(refusedUntilNanos);
        until.put(region, nowNanos + REFUSAL_NANOS);
        return new SpillState(fractions, until);
    }

    /** Returns this state with other fractions. */
    SpillState withFractions(Map<String, Double> changed) {
        return new SpillState(changed, refusedUntilNanos);
    }
}
