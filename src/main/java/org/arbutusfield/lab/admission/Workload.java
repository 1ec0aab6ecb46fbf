package org.arbutusfield.lab.admission;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.admission.Priority;

/**
 * Sizes, delays and priorities of the main service of one team.
 *
 * @param team name of the team on the command line
 * @param serversByRegion number of servers in each region
 * @param slotsPerServer slots of each server
 * @param hostsPerRegion entry hosts in each region
 * @param interDomainDelayNanos delay between failure domains of a region, one way, in nanoseconds
 * @param interRegionDelayNanos delay between regions, one way, in nanoseconds
 * @param meanServiceNanos mean of the exponential service time, in nanoseconds
 * @param oneClass whether all requests have the interactive priority
 */
record Workload(
        String team,
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

    static Workload of(String team, long meanServiceNanos, boolean oneClass) {
        return switch (team) {
            case "magnolia" ->
                new Workload(team, List.of(5, 5, 6), 3, 6, micros(1_000), micros(12_000), meanServiceNanos, oneClass);
            case "sunsafety" ->
                new Workload(team, List.of(6, 6, 6), 9, 6, micros(500), micros(35_000), meanServiceNanos, oneClass);
            default -> throw new IllegalArgumentException("unknown value of the option user: " + team);
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

    /** Maps a uniformly distributed number from [0, 1) to a priority. */
    Priority priority(double draw) {
        if (oneClass) {
            return Priority.INTERACTIVE;
        }
        if (draw < NON_REPEATABLE_SHARE) {
            return Priority.NON_REPEATABLE;
        }
        return draw < NON_REPEATABLE_SHARE + INTERACTIVE_SHARE ? Priority.INTERACTIVE : Priority.BACKGROUND;
    }

    /** Time from arrival to deadline in nanoseconds, a multiple of the mean service time. */
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
