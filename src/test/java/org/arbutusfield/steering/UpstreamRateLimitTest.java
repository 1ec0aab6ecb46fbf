package org.arbutusfield.steering;

import static org.arbutusfield.steering.LimitedUpstreamFleet.REQUESTS_PER_UPSTREAM;
import static org.arbutusfield.steering.LimitedUpstreamFleet.SETTLING;
import static org.arbutusfield.steering.LimitedUpstreamFleet.WINDOW;
import static org.arbutusfield.steering.LimitedUpstreamFleet.tolerated;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The sum over all hosts of the requests to an upstream that names the rate that it accepts from all of them. */
class UpstreamRateLimitTest {
    private static final OptionalDouble NONE = OptionalDouble.empty();
    /** Schedules of the search; the long one is started with {@code -Dlimit.schedules=2000}. */
    private static final int SCHEDULES = Integer.getInteger("limit.schedules", 60);

    /** Guards against an upstream in need that names a limit and goes on getting its usual load from all hosts. */
    @ParameterizedTest
    @CsvSource({"16, 1.5, 1", "16, 1.1, 2", "16, 0.5, 3", "25, 1.6, 4", "95, 1.5, 5", "3, 1.5, 6", "16, 0, 7"})
    void sumOverAllHostsKeepsTheRateThatAnUpstreamNames(int hostCount, double perSecond, int seed) {
        LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(hostCount, seed);
        long usual = fleet.load(Duration.ofSeconds(20));
        fleet.name(OptionalDouble.of(perSecond));
        long start = fleet.timer.nowNanos();
        fleet.load(Duration.ofMinutes(2));
        assertThat((double) usual).isGreaterThan(20 * REQUESTS_PER_UPSTREAM / 2);
        assertThat((double) fleet.mostInOneWindow(start + SETTLING.toNanos()))
                .isLessThanOrEqualTo(tolerated(perSecond));
    }

    /** Guards against a limit that outlives its end: most hosts send too seldom to hear of it soon. */
    @ParameterizedTest
    @CsvSource({"16, 1.5, 1", "25, 1.6, 4", "3, 1.5, 6", "16, 0, 7"})
    void upstreamGetsItsLoadAgainAfterTheEndOfItsLimit(int hostCount, double perSecond, int seed) {
        LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(hostCount, seed);
        fleet.load(Duration.ofSeconds(20));
        fleet.name(OptionalDouble.of(perSecond));
        fleet.load(Duration.ofSeconds(30));
        fleet.name(NONE);
        fleet.load(Duration.ofMinutes(4));
        long afterwards = fleet.load(Duration.ofSeconds(20));
        assertThat((double) afterwards).isGreaterThan(20 * REQUESTS_PER_UPSTREAM / 2);
    }

    /** Guards against hosts that know an earlier, higher limit and use up the new one for all. */
    @ParameterizedTest
    @CsvSource({"8, 1, 640", "4, 0.5, 640", "6, 1.5, 640", "6, 1.5, 300", "8, 1, 2500", "2, 0.3, 640"})
    void sumOverAllHostsKeepsALimitThatFalls(double before, double after, int responseMillis) {
        for (int seed = 0; seed < 5; seed++) {
            LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(20, seed);
            fleet.responseTime = Duration.ofMillis(responseMillis);
            fleet.load(Duration.ofSeconds(5));
            fleet.name(OptionalDouble.of(before));
            fleet.load(Duration.ofSeconds(12));
            fleet.name(OptionalDouble.of(after));
            long fall = fleet.timer.nowNanos();
            fleet.load(Duration.ofSeconds(30));
            assertThat((double)
                            fleet.mostInOneWindow(fall + SETTLING.plus(WINDOW).toNanos()))
                    .as("seed %s", seed)
                    .isLessThanOrEqualTo(tolerated(after));
        }
    }

    /**
     * Guards against a response that was sent before the limit was named, arrives later, and ends it: the host then
     * sends all its load until its next response.
     */
    @ParameterizedTest
    @CsvSource({"2.28, 640", "2.28, 5000", "0.5, 2500"})
    void lateResponseWithoutTheLimitDoesNotEndIt(double perSecond, int responseMillis) {
        LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(20, 1);
        fleet.loadPerUpstream = 15;
        fleet.responseTime = Duration.ofMillis(responseMillis);
        fleet.load(Duration.ofSeconds(15));
        fleet.heldUntilNanos = fleet.timer.nowNanos() + Duration.ofSeconds(16).toNanos();
        fleet.load(Duration.ofSeconds(6));
        fleet.name(OptionalDouble.of(perSecond));
        long start = fleet.timer.nowNanos();
        fleet.load(Duration.ofSeconds(25));
        long settled = start + SETTLING.plus(WINDOW).plus(fleet.responseTime).toNanos();
        assertThat((double) fleet.mostInOneWindow(settled)).isLessThanOrEqualTo(tolerated(perSecond));
    }

    /** Guards against a limit whose end each host learns by itself, which takes as long as all of them need a turn. */
    @ParameterizedTest
    @CsvSource({"20, 1.5, 640", "95, 1.5, 640", "20, 0.5, 640", "20, 2.28, 2500"})
    void allHostsKnowTheEndOfALimitSoonAfterOneHasHeardIt(int hostCount, double perSecond, int responseMillis) {
        LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(hostCount, 1);
        fleet.responseTime = Duration.ofMillis(responseMillis);
        fleet.load(Duration.ofSeconds(5));
        fleet.name(OptionalDouble.of(perSecond));
        fleet.load(Duration.ofSeconds(20));
        fleet.name(NONE);
        // One request after the last response with the limit, and its response.
        fleet.load(
                Duration.ofSeconds(1).plusMillis((long) (2000 / perSecond)).plus(fleet.responseTime.multipliedBy(2)));
        long afterwards = fleet.load(Duration.ofSeconds(10));
        assertThat((double) afterwards).isGreaterThan(10 * REQUESTS_PER_UPSTREAM / 2);
    }

    /** The other side of the bound: callers get most of the rate that the upstream names. */
    @ParameterizedTest
    @CsvSource({"3, 2.28, 640", "20, 2.28, 640", "95, 2.28, 640", "20, 0.5, 640", "20, 4, 5000"})
    void mostOfTheNamedRateIsUsed(int hostCount, double perSecond, int responseMillis) {
        LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(hostCount, 1);
        fleet.responseTime = Duration.ofMillis(responseMillis);
        fleet.load(Duration.ofSeconds(5));
        fleet.name(OptionalDouble.of(perSecond));
        fleet.load(Duration.ofSeconds(10));
        double used = fleet.load(Duration.ofMinutes(2)) / (120 * perSecond);
        System.out.printf(Locale.ROOT, "hosts=%d rate=%s used=%.2f%n", hostCount, perSecond, used);
        assertThat(used).isBetween(0.6, 1.1);
    }

    /**
     * Searches schedules: limits rise, fall, end and return, leaders change, messages are lost, responses come late.
     */
    @Test
    void noScheduleOfLimitsAndLeadersPassesTheBound() {
        double worst = Double.NEGATIVE_INFINITY;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            LimitedUpstreamFleet fleet = randomFleet(seed, 3 + seed % 30);
            playRandomSchedule(fleet);
            double excess = fleet.worstExcess();
            worst = Math.max(worst, excess);
            assertThat(excess).as("seed %s", seed).isLessThanOrEqualTo(0);
        }
        // Otherwise no window was compared with the rule.
        assertThat(worst).isFinite();
        System.out.printf(Locale.ROOT, "schedules=%d worst_excess=%.2f%n", SCHEDULES, worst);
    }

    /** Guards against hosts of two builds that break the limit together, whichever of them leads. */
    @ParameterizedTest
    @CsvSource({"1, 0", "10, 0", "19, 0", "10, 19", "1, 19", "0, 0"})
    void hostsOfTwoBuildsKeepALimitTogether(int newerHosts, int leader) {
        for (int seed = 0; seed < 5; seed++) {
            LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(20, seed);
            fleet.responseTime = Duration.ofMillis(640);
            fleet.olderBuildFrom(newerHosts);
            fleet.changeLeader(leader, Duration.ofMillis(100), Duration.ZERO);
            fleet.load(Duration.ofSeconds(5));
            fleet.name(OptionalDouble.of(2.28));
            long start = fleet.timer.nowNanos();
            fleet.load(Duration.ofSeconds(30));
            assertThat((double) fleet.mostInOneWindow(start + SETTLING.toNanos()))
                    .as("seed %s", seed)
                    .isLessThanOrEqualTo(tolerated(2.28));
            fleet.name(NONE);
            fleet.load(Duration.ofSeconds(60));
            assertThat((double) fleet.load(Duration.ofSeconds(10))).isGreaterThan(10 * REQUESTS_PER_UPSTREAM / 2);
        }
    }

    private static LimitedUpstreamFleet randomFleet(int seed, int hostCount) {
        LimitedUpstreamFleet fleet = LimitedUpstreamFleet.start(hostCount, seed);
        Random random = fleet.random;
        fleet.responseTime = Duration.ofMillis(100 + random.nextInt(3_000));
        fleet.maxLateness = random.nextBoolean() ? Duration.ofMillis(random.nextInt(2_000)) : Duration.ZERO;
        fleet.lostShare = random.nextBoolean() ? 0.2 * random.nextDouble() : 0;
        fleet.loadPerUpstream = 2 + random.nextInt(15);
        return fleet;
    }

    private static void playRandomSchedule(LimitedUpstreamFleet fleet) {
        Random random = fleet.random;
        fleet.load(Duration.ofSeconds(5));
        for (int change = 0; change < 8; change++) {
            boolean limited = random.nextInt(4) > 0;
            fleet.name(limited ? OptionalDouble.of(0.3 + random.nextDouble() * 8) : NONE);
            if (random.nextInt(3) == 0) {
                fleet.load(Duration.ofMillis(random.nextInt(3_000)));
                int next = (fleet.leader() + 1 + random.nextInt(fleet.size() - 1)) % fleet.size();
                fleet.changeLeader(next, Duration.ofMillis(random.nextInt(2_000)), Duration.ofMillis(1_250));
            }
            fleet.load(Duration.ofMillis(2_000 + random.nextInt(10_000)));
        }
    }
}
