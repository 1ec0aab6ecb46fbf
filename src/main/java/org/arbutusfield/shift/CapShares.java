package org.arbutusfield.shift;

import java.time.Duration;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.ShiftCap;

/**
 * A cap and its split into shares.
 *
 * <p>Base share and surplus both grow with the cap and never shrink when it rises. Hosts that still use an older cap
 * and hosts that use a newer one therefore together stay under the larger of the two. The remainder of the division is
 * not used: adding it to the surplus would break this monotonicity.
 *
 * @param cap the cap
 * @param hostCeiling maximum number of hosts that run at once in all regions together, since any host may receive
 *     requests from callers of the home region
 * @param basePerHost requests that each host may move in an interval without permits from the lender
 * @param surplus requests that the lender may lend in an interval, over all hosts
 */
public record CapShares(ShiftCap cap, int hostCeiling, long basePerHost, long surplus) {
    /** Fraction of a cap that is split evenly over the host ceiling; the rest is lent. */
    public static final double BASE_FRACTION = 0.5;

    private static final int GRANTS_PER_INTERVAL = 20;
    private static final long SHORTEST_GRANT_NANOS = Duration.ofMillis(250).toNanos();
    private static final double MAX_CLOCK_DRIFT = 0.02;

    /** Splits a cap over a host ceiling; a ceiling below one counts as one. */
    public static CapShares of(ShiftCap cap, int hostCeiling) {
        int hosts = Math.max(1, hostCeiling);
        long base = (long) Math.floor(cap.maxPerInterval() * BASE_FRACTION);
        return new CapShares(cap, hosts, base / hosts, cap.maxPerInterval() - base);
    }

    /** Splits a cap over the sum of the host ceilings of all regions. */
    public static CapShares of(ShiftCap cap, Configuration configuration) {
        int ceiling = configuration.items(Region.class).stream()
                .mapToInt(Region::hostCeiling)
                .sum();
        return of(cap, ceiling);
    }

    /** Length of the cap's interval, in nanoseconds. */
    public long intervalNanos() {
        return Duration.ofSeconds(cap.intervalSeconds()).toNanos();
    }

    /** How long a grant is valid from the moment the lender makes it, in nanoseconds. */
    public long grantNanos() {
        return Math.max(SHORTEST_GRANT_NANOS, intervalNanos() / GRANTS_PER_INTERVAL);
    }

    /**
     * Span over which use of the base share is counted: the interval plus the maximum drift of a fast clock, in
     * nanoseconds.
     */
    public long baseSpanNanos() {
        return (long) (intervalNanos() * (1 + MAX_CLOCK_DRIFT));
    }

    /**
     * Span over which lent permits are counted: the interval, the length of a grant and clock drift, in nanoseconds.
     */
    public long lentSpanNanos() {
        return (long) ((intervalNanos() + grantNanos()) * (1 + MAX_CLOCK_DRIFT));
    }
}
