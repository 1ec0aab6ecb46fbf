package org.arbutusfield.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.arbutusfield.proxy.TeamLimiter;
import org.junit.jupiter.api.Test;

/** Rules of lender and host, one by one. */
class ShareRulesTest {
    private static final TeamLimit LIMIT = new TeamLimit(10, 20);
    private static final long START = 0;
    private static final long LATER = Duration.ofSeconds(20).toNanos();
    private static final Duration RETRY = Duration.ofSeconds(1);

    private static long after(long millis) {
        return LATER + Duration.ofMillis(millis).toNanos();
    }

    private static TeamLedger ledger(long now) {
        return TeamLedger.create(LIMIT, ShareTolerance.NONE, START, now);
    }

    private static HostAllowance host() {
        return HostAllowance.create("t", 1, LIMIT, LATER);
    }

    private static TeamReport report(
            long number, double demand, double rate, double burst, int wanted, double returned) {
        return new TeamReport("t", number, demand, rate, burst, 5000, wanted, returned, LIMIT);
    }

    private static TeamGrant share(long number, double rate, double burst, double filled) {
        return new TeamGrant("t", number, rate, burst, filled, 0, RETRY, LIMIT);
    }

    private static HostAllowance holding(double rate, double burst) {
        HostAllowance host = host();
        host.report(1, 0, LATER);
        assertThat(host.answered(1, share(1, rate, burst, burst), LATER)).isTrue();
        return host;
    }

    private static Optional<TeamGrant> answer(TeamLedger ledger, String host, TeamReport report, long now) {
        return ledger.answer(host, 1, true, true, report, now);
    }

    /** Guards against a share that is kept past its time, which counts from the request for it. */
    @Test
    void shareEndsEightSecondsAfterItWasAskedFor() {
        HostAllowance host = host();
        host.report(1, 0, LATER);
        host.answered(1, share(1, 5, 10, 10), after(140));
        assertThat(host.tryTake(after(7999))).isTrue();
        assertThat(host.tryTake(after(8000))).isFalse();
        assertThat(host.holdsShare(after(8000))).isFalse();
    }

    /** Guards against an answer that is read after a pause, when the lender may count something else. */
    @Test
    void answerReadAfterAPauseIsNotApplied() {
        HostAllowance host = host();
        host.report(1, 1, LATER);
        assertThat(host.answered(1, share(1, 5, 10, 10), after(1000))).isFalse();
        assertThat(host.holdsShare(after(1000))).isFalse();
    }

    /** Guards against a lender that grants at once after its start, while shares of its predecessor are in use. */
    @Test
    void newLenderGrantsNothingNewForTheLongestShare() {
        TeamLedger ledger = ledger(START);
        long last = Duration.ofMillis(8799).toNanos();
        TeamGrant early = answer(ledger, "a", report(1, 5, 0, 0, 3, 0), last).orElseThrow();
        assertThat(early.rate()).isZero();
        assertThat(early.tokens()).isZero();
        TeamGrant due = answer(
                        ledger,
                        "a",
                        report(2, 5, 0, 0, 3, 0),
                        last + Duration.ofSeconds(1).toNanos())
                .orElseThrow();
        assertThat(due.tokens()).isEqualTo(3);
        assertThat(due.rate()).isPositive();
    }

    /**
     * Guards against a claim in a report that was sent before the term and may have been lent to another host since.
     */
    @Test
    void claimCountsOnlyInAReportOfThisTerm() {
        TeamLedger ledger = ledger(START);
        TeamReport claim = report(1, 5, 5, 10, 0, 0);
        assertThat(ledger.answer("a", 1, true, false, claim, START)).isEmpty();
        assertThat(ledger.answer("a", 1, true, true, claim, START).orElseThrow().rate())
                .isPositive()
                .isLessThanOrEqualTo(5);
    }

    /** Guards against a use that is given back twice, and so allows two requests. */
    @Test
    void useIsGivenBackOnce() {
        ShareFleet fleet = new ShareFleet(1, 1, LIMIT, ShareTolerance.NONE);
        fleet.timer.advance(Duration.ofSeconds(20));
        TeamRequests use = new TeamRequests("t", holdingAt(fleet), ShareObserver.NONE, fleet.timer);
        for (int i = 0; i < 4; i++) {
            assertThat(use.tryTake()).isPresent();
        }
        fleet.timer.advance(Duration.ofMillis(130));
        TeamLimiter.Use last = use.tryTake().orElseThrow();
        last.giveBack();
        last.giveBack();
        assertThat(use.tryTake()).isPresent();
        assertThat(use.tryTake()).isEmpty();
    }

    private static HostAllowance holdingAt(ShareFleet fleet) {
        long now = fleet.timer.nowNanos();
        HostAllowance host = HostAllowance.create("t", 1, LIMIT, now);
        host.report(1, 0, now);
        host.answered(1, share(1, 1, 5, 5), now);
        return host;
    }

    /** Guards against a token that is given back although it would have been lost to the full bucket. */
    @Test
    void useIsNotGivenBackOnceTheBucketWasFull() {
        HostAllowance host = holding(4, 2);
        assertThat(host.tryTake(LATER)).isTrue();
        assertThat(host.tryTake(after(2000))).isTrue();
        host.giveBack(LATER, after(2001));
        assertThat(host.tryTake(after(2001))).isTrue();
        assertThat(host.tryTake(after(2001))).isFalse();
    }

    /** Guards against an older limit that is taken for a newer one, and raises the share again. */
    @Test
    void olderLimitNeverRaises() {
        HostAllowance host = holding(5, 10);
        host.limitChanged(3, new TeamLimit(2, 4), after(10));
        assertThat(host.rate()).isEqualTo(1);
        host.limitChanged(2, LIMIT, after(20));
        host.report(2, 0, after(30));
        host.answered(2, share(2, 8, 16, 9), after(40));
        assertThat(host.rate()).isEqualTo(1);
        assertThat(host.burst()).isEqualTo(2);
        TeamGrant grant = ledger(LATER)
                .answer("a", 1, false, true, report(1, 9, 3, 3, 2, 0), LATER)
                .orElseThrow();
        assertThat(grant.rate()).isLessThanOrEqualTo(3);
        assertThat(grant.tokens()).isZero();
    }

    /** Guards against a lender that counts the smaller share before the host has confirmed that it holds no more. */
    @Test
    void loweredShareIsCountedUntilConfirmed() {
        TeamLedger ledger = ledger(LATER);
        double held = answer(ledger, "a", report(1, 6, 0, 0, 0, 0), LATER)
                .orElseThrow()
                .rate();
        TeamGrant lower =
                answer(ledger, "a", report(2, 2, held, 5.5, 0, 0), after(500)).orElseThrow();
        assertThat(lower.rate()).isLessThan(held);
        assertThat(ledger.countedRate()).isEqualTo(held);
        TeamGrant other =
                answer(ledger, "b", report(1, 9, 0, 0, 0, 0), after(510)).orElseThrow();
        assertThat(other.rate()).isLessThanOrEqualTo(LIMIT.ratePerSecond() - held);
        answer(ledger, "a", report(3, 2, lower.rate(), lower.burst(), 0, 0), after(700));
        assertThat(ledger.countedRate()).isLessThan(held + other.rate());
    }

    /** Guards against a restarted host whose old share stays counted, or counts again through a late report. */
    @Test
    void restartedHostHoldsNothing() {
        TeamLedger ledger = ledger(LATER);
        answer(ledger, "a", report(1, 6, 0, 0, 0, 0), LATER);
        assertThat(ledger.countedRate()).isPositive();
        ledger.answer("a", 2, true, true, report(1, 0, 0, 0, 0, 0), after(100));
        assertThat(ledger.countedRate()).isLessThanOrEqualTo(ShareSizes.IDLE_RATE);
        assertThat(ledger.answer("a", 1, true, true, report(2, 6, 7, 5, 0, 0), after(110)))
                .isEmpty();
    }

    /** Guards against a report that arrives late or twice, and tokens that are returned twice with it. */
    @Test
    void reportCountsOnce() {
        TeamLedger ledger = ledger(LATER);
        answer(ledger, "a", report(1, 0, 0, 0, 15, 0), LATER);
        TeamReport returning = report(2, 0, 0, 0, 0, 2);
        assertThat(answer(ledger, "a", returning, LATER)).isPresent();
        double reserve = ledger.reserve();
        assertThat(answer(ledger, "a", returning, LATER)).isEmpty();
        assertThat(ledger.reserve()).isEqualTo(reserve);
    }
}
