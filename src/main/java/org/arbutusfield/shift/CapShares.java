package org.arbutusfield.shift;

import java.time.Duration;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.ShiftCap;

/**
 * A cap and its split into shares.
 *
 * <p>Base share and surplus both grow with the cap and never fall when it rises. Hosts that still follow an older cap
 * and hosts that follow a newer one therefore together stay under the larger of the two. The remainder of the division
 * goes to nobody: giving it to the surplus would break that order.
 *
 * @param cap the cap
 * @param hostCeiling the most hosts that run at once, in all regions together: any host may be asked for a caller of
 *     the home region
 * @param basePerHost requests that each host may move in an interval without asking
 * @param surplus requests that the lender may lend in an interval, over all hosts
 */
public record CapShares(ShiftCap cap, int hostCeiling, long basePerHost, long surplus) {
    /** Part of a cap that is split evenly over the ceiling of hosts; the rest is lent. */
    public static final double BASE_PART = 0.5;

    private static final int GRANTS_PER_INTERVAL = 20;
    private static final long SHORTEST_GRANT_NANOS = Duration.ofMillis(250).toNanos();
    private static final double MAX_DRIFT = 0.02;

    /** Splits a cap for a ceiling of hosts; a ceiling below one counts as one. */
    public static CapShares of(ShiftCap cap, int hostCeiling) {
        int hosts = Math.max(1, hostCeiling);
        long base = (long) Math.floor(cap.maxPerInterval() * BASE_PART);
        return new CapShares(cap, hosts, base / hosts, cap.maxPerInterval() - base);
    }

    /** Splits a cap for the ceiling of all regions. */
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

    /** How long a grant lives from the moment the lender makes it, in nanoseconds. */
    public long grantNanos() {
        return Math.max(SHORTEST_GRANT_NANOS, intervalNanos() / GRANTS_PER_INTERVAL);
    }

    /** Span over which base use is counted: the interval and what a fast clock may take off it, in nanoseconds. */
    public long baseSpanNanos() {
        return (long) (intervalNanos() * (1 + MAX_DRIFT));
    }

    /** Span over which lent permits are counted: the interval, the life of a grant and drift, in nanoseconds. */
    public long lentSpanNanos() {
        return (long) ((intervalNanos() + grantNanos()) * (1 + MAX_DRIFT));
    }
}
