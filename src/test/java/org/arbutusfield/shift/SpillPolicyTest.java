package org.arbutusfield.shift;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SpillPolicyTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final SpillPolicy.Request REQUEST = new SpillPolicy.Request(1, 1_000);

    @ParameterizedTest
    @CsvSource({
        // latency weight, headroom weight, link ms, home load, home wait ms, spills
        "1, 3, 12, 0.5, 0, false",
        "1, 3, 12, 0.95, 0, true",
        "3, 1, 35, 0.95, 0, false",
        "3, 1, 35, 1.5, 50, false",
        "3, 1, 35, 4.0, 120, true"
    })
    void weightsDecideWhenToSpill(
            double latency, double headroom, double link, double load, double wait, boolean spills) {
        SpillView view = new SpillView(
                latency, headroom, option("home", 0, load, wait, 0), List.of(option("far", link, 0.5, 0, 0)));
        SpillState state = SpillPolicy.observe(view, SpillState.initial(), 0);
        assertThat(state.fraction("far") > 0).isEqualTo(spills);
    }

    @Test
    void fractionHoldsWithinTheDeadBand() {
        SpillState state = new SpillState(Map.of("far", 0.3), Map.of());
        for (double load : new double[] {0.78, 0.8, 0.85, 0.79, 0.84}) {
            SpillView view = new SpillView(1, 3, option("home", 0, load, 0, 0), List.of(option("far", 12, 0.6, 0, 0)));
            state = SpillPolicy.observe(view, state, 0);
            assertThat(state.fraction("far")).as("load %f", load).isEqualTo(0.3);
        }
    }

    @Test
    void requestsLeaveFailedOrDrainedHomeAtOnce() {
        SpillView failed = new SpillView(
                1, 1, option("home", 0, Double.POSITIVE_INFINITY, 0, 0), List.of(option("far", 12, 0.5, 0, 0)));
        assertThat(SpillPolicy.order(failed, SpillState.initial(), REQUEST, 0).get(0))
                .isEqualTo("far");
        assertThat(SpillPolicy.reason(failed, REQUEST, 0)).isEqualTo(CrossRegionAdmission.Reason.FAILOVER);
        SpillView.Option drained =
                new SpillView.Option("home", 0, 0, Optional.of(figures("home", 0.1, 0, 0)), true, true, 1);
        SpillView draining = new SpillView(1, 1, drained, List.of(option("far", 12, 0.5, 0, 0)));
        assertThat(SpillPolicy.order(draining, SpillState.initial(), REQUEST, 0))
                .containsExactly("far");
    }

    @Test
    void staleFiguresCountAsFullRegion() {
        SpillView view = new SpillView(1, 3, option("home", 0, 1, 0, 0), List.of(option("far", 12, 0.1, 0, 0)));
        double fresh = SpillPolicy.cost(view, view.others().get(0), 0);
        double old = SpillPolicy.cost(view, view.others().get(0), 2 * SECOND);
        double veryOld = SpillPolicy.cost(view, view.others().get(0), 60 * SECOND);
        SpillView.Option never = new SpillView.Option("far", 1, 12, Optional.empty(), false, true, 1);
        assertThat(old).isGreaterThan(fresh);
        assertThat(veryOld).isGreaterThan(old);
        assertThat(SpillPolicy.cost(view, never, 0)).isGreaterThanOrEqualTo(veryOld);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44})
    void orderOmitsRegionsThatMayNotTakeTheRequest(long seed) {
        Random random = new Random(seed);
        for (int round = 0; round < 2_000; round++) {
            boolean drained = random.nextInt(3) == 0;
            boolean permitted = random.nextInt(3) > 0;
            boolean refused = random.nextInt(3) == 0;
            double load = random.nextInt(4) == 0 ? Double.POSITIVE_INFINITY : 2 * random.nextDouble();
            SpillView.Option far = new SpillView.Option(
                    "far", 1, 12, Optional.of(figures("far", load, 0, 0)), drained, permitted, random.nextDouble());
            SpillView view = new SpillView(1, 3, option("home", 0, 2 * random.nextDouble(), 0, 0), List.of(far));
            SpillState state = SpillState.initial();
            for (int step = 0; step < 20; step++) {
                state = SpillPolicy.observe(view, state, 0);
                assertThat(state.fraction("far")).isLessThanOrEqualTo(far.shareLimit());
            }
            state = refused ? state.withRefusal("far", 0) : state;
            boolean expected = !drained && permitted && !refused && !Double.isInfinite(load);
            assertThat(SpillPolicy.order(view, state, REQUEST, 0).contains("far"))
                    .as("seed %d round %d", seed, round)
                    .isEqualTo(expected);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void receiverNeverAdmitsRemoteRequestsAboveItsLimit(long seed) {
        Random random = new Random(seed);
        int slots = 1 + random.nextInt(50);
        int own = 0;
        int foreign = 0;
        for (int i = 0; i < 20_000; i++) {
            own = Math.max(0, Math.min(2 * slots, own + random.nextInt(3) - 1));
            double ramp = random.nextDouble();
            CrossRegionAdmission.Reason reason =
                    random.nextBoolean() ? CrossRegionAdmission.Reason.FAILOVER : CrossRegionAdmission.Reason.BALANCE;
            double limit = reason == CrossRegionAdmission.Reason.FAILOVER ? 1.2 : 1.0;
            RegionHeadroom now = new RegionHeadroom("r", slots, own + foreign, 0, 0, 10, 0);
            if (CrossRegionAdmission.admits(now, reason, foreign, ramp)) {
                foreign++;
                assertThat(own + foreign).as("seed %d", seed).isLessThanOrEqualTo((int) (slots * limit));
                assertThat(foreign).isLessThanOrEqualTo((int) Math.max(1, slots * limit * ramp));
            } else {
                foreign = Math.max(0, foreign - random.nextInt(3));
            }
        }
    }

    @Test
    void rampRisesWhileUsedAndFallsWhileIdle() {
        ColdRamp ramp = ColdRamp.cold(10, 0);
        assertThat(ramp.share(0)).isEqualTo(ColdRamp.COLD_SHARE);
        double last = 0;
        for (int tenth = 0; tenth <= 50; tenth++) {
            ramp = ramp.used(tenth * SECOND / 10);
            assertThat(ramp.share(tenth * SECOND / 10)).isGreaterThanOrEqualTo(last);
            last = ramp.share(tenth * SECOND / 10);
        }
        assertThat(last).isBetween(0.45, 0.55);
        assertThat(ramp.share(8 * SECOND)).isLessThan(last);
        assertThat(ColdRamp.cold(0, 0).share(0)).isEqualTo(1);
    }

    @Test
    void linkBudgetKeepsRateAndReserveForInteractiveTraffic() {
        LinkBudget budget = LinkBudget.of(4_000_000_000L, 16, 0);
        long sent = 0;
        long chunk = 65_536 * 8;
        for (long now = 0; now < 5 * SECOND; now += SECOND / 10_000) {
            while (budget.permits(false, now)) {
                budget.charge(chunk, now);
                sent += chunk;
            }
            assertThat(sent).isLessThanOrEqualTo((long) (now / 1e9 * 250_000_000) + chunk);
        }
        assertThat(sent).isGreaterThan(4L * 250_000_000);
        assertThat(budget.permits(true, 5 * SECOND)).isTrue();
        long wait = budget.waitNanos(false, 5 * SECOND);
        assertThat(budget.permits(false, 5 * SECOND + wait)).isTrue();
    }

    private static SpillView.Option option(String region, double link, double load, double wait, long measured) {
        return new SpillView.Option(
                region, 1, link, Optional.of(figures(region, load, wait, measured)), false, true, 1);
    }

    private static RegionHeadroom figures(String region, double load, double wait, long measured) {
        int slots = Double.isInfinite(load) ? 0 : 100;
        int busy = Double.isInfinite(load) ? 1 : (int) Math.round(100 * load);
        return new RegionHeadroom(region, slots, busy, 0, wait, 30, measured);
    }
}
