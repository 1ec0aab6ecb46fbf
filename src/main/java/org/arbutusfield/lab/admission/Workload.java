package org.arbutusfield.lab.admission;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.admission.Priority;

/**
 * Sizes and delays of one user's main service.
 *
 * @param user name of the user on the command line
 * @param serversByRegion number of servers in each region
 * @param slotsPerServer slots of each server
 * @param hostsPerRegion entry hosts in each region
 * @param interDomainDelayNanos delay between failure domains of a region, one way, in nanoseconds
 * @param interRegionDelayNanos delay between regions, one way, in nanoseconds
 * @param meanServiceNanos mean of the exponential service time, in nanoseconds
 * @param oneClass true when all requests are interactive
 */
record Workload(
        String user,
        List<Integer> serversByRegion,
        int slotsPerServer,
        int hostsPerRegion,
        long interDomainDelayNanos,
        long interRegionDelayNanos,
        long meanServiceNanos,
        boolean oneClass) {
    private static final int INTRA_DOMAIN_DIVISOR = 10;
    private static final double NON_REPEATABLE_SHARE = 0.10;
    private static final double INTERACTIVE_SHARE = 0.65;

    static Workload of(String user, long meanServiceNanos, boolean oneClass) {
        return switch (user) {
            case "magnolia" ->
                new Workload(user, List.of(5, 5, 6), 3, 6, micros(1_000), micros(12_000), meanServiceNanos, oneClass);
            case "sunsafety" ->
                new Workload(user, List.of(6, 6, 6), 9, 6, micros(500), micros(35_000), meanServiceNanos, oneClass);
            default -> throw new IllegalArgumentException("unknown user " + user);
        };
    }

    long intraDomainDelayNanos() {
        return interDomainDelayNanos / INTRA_DOMAIN_DIVISOR;
    }

    int totalSlots(int regions) {
        int sum = 0;
        for (int region = 0; region < regions; region++) {
            sum += serversByRegion.get(region) * slotsPerServer;
        }
        return sum;
    }

    /** The priority for a number drawn evenly from [0, 1). */
    Priority priority(double draw) {
        if (oneClass) {
            return Priority.INTERACTIVE;
        }
        if (draw < NON_REPEATABLE_SHARE) {
            return Priority.NON_REPEATABLE;
        }
        return draw < NON_REPEATABLE_SHARE + INTERACTIVE_SHARE ? Priority.INTERACTIVE : Priority.BACKGROUND;
    }

    /** Deadline in mean service times, in nanoseconds. */
    long deadlineNanos(Priority priority) {
        return switch (priority) {
            case NON_REPEATABLE -> 40 * meanServiceNanos;
            case INTERACTIVE -> 20 * meanServiceNanos;
            case BACKGROUND -> 60 * meanServiceNanos;
        };
    }

    private static long micros(long count) {
        return Duration.ofNanos(count * 1000).toNanos();
    }
}
