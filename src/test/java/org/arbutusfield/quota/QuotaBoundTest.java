package org.arbutusfield.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The sum over all hosts of the requests that are sent to a limited upstream: never above the bound in one second, and
 * not far below the rate when more is asked for.
 */
class QuotaBoundTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration COLD_PERIOD = Duration.ofSeconds(3);
    private static final Duration STEP = Duration.ofMillis(10);
    /** Cold starts of each case; the long search is started with {@code -Dcold.starts=100000}. */
    private static final int COLD_STARTS = Integer.getInteger("cold.starts", 1_000);

    private static double tolerated(double perSecond) {
        return perSecond * 1.5 + 5;
    }

    /**
     * All hosts send to one limited upstream as often as they may; in every second the sum stays within the rate and
     * its tolerance, and at least half of the rate is used.
     */
    @ParameterizedTest
    @CsvSource({"16, 2.6", "2, 2.6", "118, 2.6", "20, 6.0", "20, 7.6", "16, 0.5", "6300, 2.6"})
    void requestsToALimitedUpstreamStayWithinItsRate(int hosts, double perSecond) {
        QuotaFleet fleet = QuotaFleet.create(hosts, QuotaClient.VALIDITY, new Random(1));
        fleet.requestEagerly("u", perSecond, MINUTE, STEP);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(tolerated(perSecond));
        assertThat((double) fleet.sent()).isBetween(perSecond * 30, perSecond * 60 + TokenBucket.CAPACITY);
    }

    /** Hosts that don't reach the leader send nothing, and the others no more than before. */
    @ParameterizedTest
    @CsvSource({"16, 8", "16, 15"})
    void partitionedHostsStayWithinTheBoundInEverySecond(int hosts, int cutOff) {
        QuotaFleet fleet = QuotaFleet.create(hosts, QuotaClient.VALIDITY, new Random(1));
        fleet.cutOff(cutOff);
        fleet.requestEagerly("u", 2.6, MINUTE, STEP);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(tolerated(2.6));
        assertThat((double) fleet.sent()).isGreaterThan(2.6 * 30);
    }

    /**
     * Load pattern: an upstream that got nothing for some time gets the load of its neighbours. What the hosts left
     * unused meanwhile must not be used all at once.
     */
    @ParameterizedTest
    @CsvSource({"16, 2.6, 5", "20, 7.6, 5", "16, 1.5, 5", "95, 2.6, 10"})
    void unusedTokensAreNotSavedUp(int hosts, double perSecond, int slack) {
        for (int second = 0; second < 60; second++) {
            QuotaFleet fleet = QuotaFleet.create(hosts, QuotaClient.VALIDITY, new Random(second));
            fleet.timer.advance(SECOND.multipliedBy(second));
            fleet.requestEagerly("u", perSecond, SECOND, STEP);
            assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(perSecond * 1.5 + slack);
        }
    }

    /**
     * Guards against a bound that holds by chance, and against a cold upstream that stays unused in a large fleet.
     * Twice the rate is asked for; no cold start may pass the bound, and the callers get 0.6 of the rate.
     */
    @ParameterizedTest
    @CsvSource({
        "2.3, 16", "2.3, 20", "2.3, 118", "2.3, 1000",
        "2.6, 16", "2.6, 20", "2.6, 118", "2.6, 1000",
        "4.5, 16", "4.5, 20", "4.5, 118", "4.5, 1000",
        "7.6, 16", "7.6, 20", "7.6, 118", "7.6, 1000"
    })
    void noColdStartPassesTheBoundAndMostOfTheRateIsUsed(double perSecond, int hosts) {
        QuotaFleet fleet = QuotaFleet.create(hosts, Duration.ofMillis(50), new Random(hosts));
        fleet.timer.advance(MINUTE);
        int most = 0;
        long total = 0;
        for (int i = 0; i < COLD_STARTS; i++) {
            fleet.requestAtRandom("u-" + i, perSecond, 2 * perSecond, COLD_PERIOD);
            most = Math.max(most, fleet.maxPerSecond());
            total += fleet.sent();
            fleet.resetCounts();
        }
        double used = total / (perSecond * COLD_PERIOD.toSeconds() * COLD_STARTS);
        System.out.printf(
                Locale.ROOT,
                "rate=%s hosts=%d cold_starts=%d most_in_one_second=%d tolerated=%s used=%.2f%n",
                perSecond,
                hosts,
                COLD_STARTS,
                most,
                tolerated(perSecond),
                used);
        assertThat((double) most).isLessThanOrEqualTo(tolerated(perSecond));
        assertThat(used).isGreaterThanOrEqualTo(0.6);
    }

    /**
     * Searches for the worst case: every permission is taken at once, and its request is sent at any time up to its
     * end, so that early ones arrive together with late ones.
     */
    @Test
    void noOrderOfSendingPassesTheBound() {
        for (double perSecond = 0.3; perSecond < 60; perSecond += 0.1) {
            double validity = QuotaClient.VALIDITY.toNanos() / 1e9;
            TokenBucket bucket = TokenBucket.emptyAt(-MINUTE.toNanos());
            int inOneSecond = 0;
            for (long now = 0; now < (1 + validity) * 1e9; now += 1_000_000) {
                while (bucket.tryTake(perSecond, now).isEmpty()) {
                    // Taken before VALIDITY: sent at VALIDITY. Taken later: sent at once. All are in the second after
                    // it.
                    inOneSecond++;
                }
            }
            assertThat((double) inOneSecond).as("rate %s", perSecond).isLessThanOrEqualTo(tolerated(perSecond));
        }
    }
}
