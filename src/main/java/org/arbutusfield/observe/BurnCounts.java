package org.arbutusfield.observe;

import java.util.EnumMap;
import java.util.Map;

/**
 * Requests counted against one objective.
 *
 * @param good requests answered completely and in time
 * @param bad all other requests, by reason; reasons without a request may be missing
 */
public record BurnCounts(long good, Map<BurnReason, Long> bad) {
    /** No requests. */
    public static final BurnCounts NONE = new BurnCounts(0, Map.of());

    /** Copies the map so that the record is immutable. */
    public BurnCounts {
        bad = Map.copyOf(bad);
    }

    /** Adds the counts of other requests. */
    public BurnCounts plus(BurnCounts other) {
        Map<BurnReason, Long> sum = new EnumMap<>(BurnReason.class);
        sum.putAll(bad);
        other.bad.forEach((reason, count) -> sum.merge(reason, count, Long::sum));
        return new BurnCounts(good + other.good, sum);
    }

    /** Number of bad requests, of all reasons. */
    public long totalBad() {
        return bad.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Number of good and bad requests. */
    public long total() {
        return good + totalBad();
    }

    /**
     * How fast the error budget is consumed: 1 uses it up exactly at the end of the objective's window; 0 if there were
     * no requests.
     *
     * @param target share of requests that must be good, above 0 and below 1
     */
    public double burnRate(double target) {
        return total() == 0 ? 0 : (double) totalBad() / total() / (1 - target);
    }
}
