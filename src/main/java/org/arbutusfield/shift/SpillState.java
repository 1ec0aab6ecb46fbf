package org.arbutusfield.shift;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which fraction of the home region's requests goes to each other region first, and which regions just refused.
 * Immutable.
 *
 * @param fractions fraction by region, 0 to 1; their sum is at most 1
 * @param refusedUntilNanos regions not to be asked before the time
 */
public record SpillState(Map<String, Double> fractions, Map<String, Long> refusedUntilNanos) {
    private static final long REFUSAL_NANOS = Duration.ofMillis(3).toNanos();

    /** Copies the maps so that the state stays immutable. */
    public SpillState {
        fractions = Map.copyOf(fractions);
        refusedUntilNanos = Map.copyOf(refusedUntilNanos);
    }

    /** Everything stays at home. */
    public static SpillState initial() {
        return new SpillState(Map.of(), Map.of());
    }

    /** Fraction of requests that goes to the region first. */
    public double fraction(String region) {
        return fractions.getOrDefault(region, 0.0);
    }

    /** True while the region's last refusal stands. */
    public boolean refused(String region, long nowNanos) {
        return refusedUntilNanos.getOrDefault(region, Long.MIN_VALUE) > nowNanos;
    }

    /** The state after the region refused a request. */
    public SpillState withRefusal(String region, long nowNanos) {
        Map<String, Long> until = new TreeMap<>(refusedUntilNanos);
        until.put(region, nowNanos + REFUSAL_NANOS);
        return new SpillState(fractions, until);
    }

    /** The state with other fractions. */
    SpillState withFractions(Map<String, Double> changed) {
        return new SpillState(changed, refusedUntilNanos);
    }
}
