package org.arbutusfield.shift;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.ShiftCap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CapAllowanceTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final int HOSTS = 10;

    @ParameterizedTest
    @CsvSource({
        "1200, 24, 25, 600",
        "1200, 20, 30, 600",
        "47, 24, 0, 24",
        "48, 24, 1, 24",
        "49, 24, 1, 25",
        "0, 5, 0, 0"
    })
    void sharesStayUnderTheCap(long cap, int ceiling, long base, long surplus) {
        CapShares shares = CapShares.of(cap(cap, 1, 10), ceiling);
        assertThat(shares.basePerHost()).isEqualTo(base);
        assertThat(shares.surplus()).isEqualTo(surplus);
        assertThat(shares.basePerHost() * ceiling + shares.surplus()).isLessThanOrEqualTo(cap);
    }

    @Test
    void sharesGrowWithTheCap() {
        for (long cap = 1; cap < 500; cap++) {
            CapShares less = CapShares.of(cap(cap - 1, 1, 10), 24);
            CapShares more = CapShares.of(cap(cap, 1, 10), 24);
            assertThat(more.basePerHost()).isGreaterThanOrEqualTo(less.basePerHost());
            assertThat(more.surplus()).isGreaterThanOrEqualTo(less.surplus());
        }
    }

    @Test
    void newProcessWaitsOneIntervalBeforeUsingItsBase() {
        CapAllowance allowance = allowance(shares(200), 0);
        assertThat(move(allowance, 50, 9 * SECOND)).isZero();
        assertThat(move(allowance, 50, 11 * SECOND)).isEqualTo(10);
        assertThat(move(allowance, 50, 20 * SECOND)).isZero();
        assertThat(move(allowance, 50, 23 * SECOND)).isEqualTo(10);
    }

    @Test
    void grantExpiresOnThisHostsClockCountedFromItsRequest() {
        CapAllowance allowance = allowance(shares(200), 0);
        PermitGrant grant = grantFor(allowance, 5, 100);
        allowance.receive(grant, SECOND + 100_000_000);
        assertThat(move(allowance, 2, SECOND + 200_000_000)).isEqualTo(2);
        assertThat(move(allowance, 3, 2 * SECOND)).isZero();
    }

    @Test
    void lateGrantHasExpiredOnArrival() {
        CapAllowance allowance = allowance(shares(200), 0);
        PermitGrant grant = grantFor(allowance, 5, 100);
        allowance.receive(grant, 5 * SECOND);
        assertThat(move(allowance, 5, 5 * SECOND)).isZero();
    }

    @Test
    void grantCountsOnceAndOnlyForItsRequest() {
        CapAllowance allowance = allowance(shares(200), 0);
        PermitGrant grant = grantFor(allowance, 5, 100);
        allowance.receive(grant, SECOND);
        allowance.receive(grant, SECOND);
        PermitGrant foreign = new PermitGrant(new PermitGrant.Id(99, 1), 5, 100, 10 * SECOND, SECOND / 2);
        allowance.receive(foreign, SECOND);
        assertThat(move(allowance, 50, SECOND)).isEqualTo(5);
    }

    @Test
    void lowerCapDiscardsGrantsOfALargerSurplus() {
        CapAllowance allowance = allowance(shares(200), 0);
        allowance.receive(grantFor(allowance, 5, 100), SECOND);
        allowance.apply(shares(100), SECOND);
        assertThat(move(allowance, 50, SECOND)).isZero();
    }

    @Test
    void changedShareDoesNotRefillTheBase() {
        CapAllowance allowance = allowance(shares(200), -60 * SECOND);
        assertThat(move(allowance, 50, SECOND)).isEqualTo(10);
        allowance.apply(CapShares.of(cap(200, 0.9, 10), HOSTS), SECOND);
        assertThat(move(allowance, 50, 2 * SECOND)).isZero();
    }

    @Test
    void refundedPermitIsUsableAgain() {
        CapAllowance allowance = allowance(shares(20), -60 * SECOND);
        allowance.countSeen(SECOND);
        CapAllowance.Permit permit = allowance.take(SECOND).get();
        allowance.countSeen(SECOND);
        assertThat(allowance.take(SECOND).getLeft().code()).isEqualTo(ErrorCode.CAP_REACHED);
        allowance.refund(permit, SECOND);
        assertThat(allowance.take(SECOND).isRight()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0.1, 7", "0.25, 8", "0.5, 9", "1, 10"})
    void movedShareHoldsInEveryInterval(double share, long seed) {
        Random random = new Random(seed);
        ShareLimiter shareLimiter = ShareLimiter.of(share, SECOND, 0);
        boolean[] moved = new boolean[20_000];
        long[] at = new long[moved.length];
        long now = 0;
        for (int i = 0; i < moved.length; i++) {
            now += random.nextInt(20) == 0 ? random.nextInt(300_000_000) : random.nextInt(4_000_000);
            at[i] = now;
            shareLimiter.countSeen(now);
            moved[i] = random.nextInt(3) > 0 && shareLimiter.permits(now);
            if (moved[i]) {
                shareLimiter.countMoved(now);
            }
        }
        int from = 0;
        int count = 0;
        for (int to = 0; to < moved.length; to++) {
            count += moved[to] ? 1 : 0;
            while (at[to] - at[from] >= SECOND) {
                count -= moved[from++] ? 1 : 0;
            }
            double seen = to - from + 1;
            assertThat(count).isLessThanOrEqualTo((int) Math.floor(share * seen + 1));
            assertThat(moved[to] && count > share * seen + 1e-9)
                    .as("seed %d at %d", seed, to)
                    .isFalse();
        }
    }

    @Test
    void limiterRefusesMovesAfterPauseUntilConfirmed() {
        Configuration configuration = configuration();
        ShiftLimiter limiter = ShiftLimiter.start(new CapAllowance.Incarnation(1, -60 * SECOND));
        limiter.apply(configuration, 0);
        assertThat(take(limiter, SECOND / 2)).isTrue();
        assertThat(take(limiter, 5 * SECOND)).isFalse();
        limiter.tick(5 * SECOND);
        assertThat(take(limiter, 5 * SECOND)).isFalse();
        limiter.apply(configuration, 5 * SECOND);
        assertThat(take(limiter, 5 * SECOND)).isTrue();
        assertThat(limiter.take("quotedesk", "delta", "gulf", 5 * SECOND).isLeft())
                .isTrue();
    }

    @Test
    void lenderWaitsForPredecessorsGrantsAndStopsWithItsLease() {
        PermitLender lender = PermitLender.open(shares(200), new PermitLender.Lease(1, 0, 30 * SECOND), 0);
        assertThat(lend(lender, 1, 10 * SECOND)).isZero();
        assertThat(lend(lender, 2, 11 * SECOND)).isEqualTo(100);
        assertThat(lend(lender, 3, 12 * SECOND)).isZero();
        assertThat(lender.available(21 * SECOND + 7 * SECOND / 10)).isZero();
        assertThat(lend(lender, 4, 26 * SECOND)).isEqualTo(100);
        assertThat(lend(lender, 5, 40 * SECOND)).isZero();
        lender.renew(new PermitLender.Lease(1, 41 * SECOND, 30 * SECOND), 41 * SECOND);
        assertThat(lend(lender, 6, 42 * SECOND)).isEqualTo(100);
        lender.renew(new PermitLender.Lease(3, 60 * SECOND, 30 * SECOND), 60 * SECOND);
        assertThat(lend(lender, 7, 61 * SECOND)).isZero();
    }

    @Test
    void lenderCreditsReturnOnceAndRepeatsGrantForSameRequest() {
        PermitLender lender = PermitLender.open(shares(200), new PermitLender.Lease(1, 0, 90 * SECOND), 0);
        assertThat(lend(lender, 1, 20 * SECOND)).isEqualTo(100);
        assertThat(lend(lender, 1, 20 * SECOND)).isEqualTo(100);
        PermitGrant.Return returned = new PermitGrant.Return(new PermitGrant.Id(7, 1), 40);
        PermitLender.Request again =
                new PermitLender.Request("h", new PermitGrant.Id(7, 2), 100, List.of(returned, returned));
        assertThat(lender.lend(again, 1_000, 21 * SECOND).get().permits()).isEqualTo(40);
        assertThat(lender.available(21 * SECOND)).isZero();
    }

    @Test
    void lenderDividesPermitsAndRespectsHeadroom() {
        PermitLender lender = PermitLender.open(shares(200), new PermitLender.Lease(1, 0, 90 * SECOND), 0);
        PermitLender.Request request = new PermitLender.Request("h", new PermitGrant.Id(7, 1), 100, List.of());
        assertThat(lender.lend(request, 3, 20 * SECOND).get().permits()).isEqualTo(3);
        PermitLender.Request other = new PermitLender.Request("i", new PermitGrant.Id(8, 1), 100, List.of());
        assertThat(lender.lend(other, 1_000, 20 * SECOND).get().permits()).isEqualTo(48);
    }

    private static long lend(PermitLender lender, long sequence, long now) {
        PermitLender.Request request = new PermitLender.Request("h", new PermitGrant.Id(7, sequence), 100, List.of());
        return lender.lend(request, 1_000, now).map(PermitGrant::permits).getOrElse(0L);
    }

    private static PermitGrant grantFor(CapAllowance allowance, long permits, long surplus) {
        allowance.countSeen(SECOND);
        allowance.take(SECOND);
        PermitLender.Request request = allowance.permitRequest("h", SECOND).orElseThrow();
        return new PermitGrant(request.id(), permits, surplus, 10 * SECOND, SECOND / 2);
    }

    private static int move(CapAllowance allowance, int requests, long now) {
        int moved = 0;
        for (int i = 0; i < requests; i++) {
            allowance.countSeen(now);
            moved += allowance.take(now).isRight() ? 1 : 0;
        }
        return moved;
    }

    private static boolean take(ShiftLimiter limiter, long now) {
        limiter.countSeen("quotedesk", "gulf", now);
        return limiter.take("quotedesk", "gulf", "delta", now).isRight();
    }

    private static CapAllowance allowance(CapShares shares, long startedNanos) {
        return CapAllowance.start(shares, new CapAllowance.Incarnation(7, startedNanos), startedNanos);
    }

    private static CapShares shares(long cap) {
        return CapShares.of(cap(cap, 1, 10), HOSTS);
    }

    private static ShiftCap cap(long count, double share, int seconds) {
        return new ShiftCap("quotedesk", "gulf", "delta", share, seconds, count);
    }

    private static Configuration configuration() {
        return Configuration.of(
                1,
                "n",
                List.of(
                        new Region("gulf", 5),
                        new Region("delta", 5),
                        new MoveRule("quotedesk", "gulf", "delta", 1),
                        cap(200, 1, 10)));
    }
}
