package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.quota.UpstreamQuota;
import org.arbutusfield.reach.Forwardings;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Placement of requests when the first choice can't serve them: cold, tried, far away, leaving or pausing upstreams.
 */
class SteeringPlacementTest {
    private static final Duration COLD_PERIOD = Duration.ofSeconds(3);

    private final VirtualTimer timer = VirtualTimer.create();

    private static LiveUpstream upstream(String name, String region, long coldUntilNanos) {
        Upstream upstream = new Upstream(name, "vault", region + "-a", "127.0.0.1", 1, 3, 10);
        return started(upstream, region, coldUntilNanos, 1);
    }

    private static LiveUpstream started(Upstream upstream, String region, long coldUntilNanos, long startMillis) {
        String name = upstream.name();
        return new LiveUpstream(upstream, region, coldUntilNanos, 0, startMillis, WeightedRendezvous.hash(name));
    }

    private static Route download(Set<String> regions) {
        return new Route(
                "r",
                "h",
                "/",
                true,
                true,
                Duration.ofSeconds(2),
                Duration.ofMillis(400),
                2,
                2,
                regions,
                true,
                List.of(new WeightedService("vault", 1)));
    }

    private static PlacementRequest request(Set<String> tried, Route route) {
        return PlacementRequests.of("vault", tried, Optional.of(route), Optional.of("17"));
    }

    private String placedAt(SteeringState state, PlacementRequest request) {
        return nameOf(placement(() -> state).place(request).join());
    }

    private static String nameOf(Either<Failure, PlacementTarget> placed) {
        return placed.fold(failure -> failure.code().name(), PlacementTarget::name);
    }

    private SteeringPlacement placement(Supplier<SteeringState> state) {
        return placement(state, GrantedQuota.never(timer));
    }

    private SteeringPlacement placement(Supplier<SteeringState> state, UpstreamQuota quota) {
        HomePlanner planner = HomePlanner.create(state, timer);
        HomeResolver resolver = HomeResolver.start(
                "h",
                state,
                (peer, message, timeout) ->
                        CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))),
                planner,
                timer);
        HostRetryBudget retryBudget =
                HostRetryBudget.create(new SharedRetryBudget(0.2, COLD_PERIOD, 10, 2), () -> 1, timer);
        return SteeringPlacement.create(
                "near",
                state,
                resolver,
                new SharedLimits(retryBudget, quota),
                Forwardings.unused("h", state, timer),
                (placementRequest, choice) -> {},
                timer);
    }

    /**
     * The only upstream of a service in a region can be cold, or have just failed the request. The request must then go
     * to another region, if the route allows it.
     */
    @ParameterizedTest
    @CsvSource({
        "warm, '',  '',   u-near",
        "cold, '',  '',   u-far",
        "warm, u-near, '', u-far",
        "cold, '',  near, NO_UPSTREAM",
    })
    void largeResponseIsServedByAnotherRegionWhenTheLocalOneCannot(
            String localState, String tried, String allowedRegion, String expected) {
        long coldUntil = localState.equals("cold") ? timer.nowNanos() + COLD_PERIOD.toNanos() : timer.nowNanos();
        SteeringState state = new SteeringState(
                Optional.empty(),
                Map.of("vault", List.of(upstream("u-far", "far", 0), upstream("u-near", "near", coldUntil))),
                Set.of(),
                List.of(),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
        Set<String> regions = allowedRegion.isEmpty() ? Set.of() : Set.of(allowedRegion);
        Set<String> triedUpstreams = tried.isEmpty() ? Set.of() : Set.of(tried);
        assertThat(placedAt(state, request(triedUpstreams, download(regions)))).isEqualTo(expected);
    }

    /**
     * Guards against a request that is placed while its upstream is warm, waits for a connection, and is sent when the
     * upstream is known to be cold, in addition to those that were counted.
     */
    @Test
    void requestPlacedBeforeItsUpstreamWasKnownToBeColdIsNotSent() {
        AtomicReference<SteeringState> current = new AtomicReference<>(state(upstream("u-a", "near", 0)));
        Permit permit = placement(current::get).place(untried()).join().get().permit();
        assertThat(permit.refusalToSend()).isEmpty();
        current.set(state(upstream("u-a", "near", timer.nowNanos() + COLD_PERIOD.toNanos())));
        assertThat(permit.refusalToSend().map(Failure::code)).contains(ErrorCode.PERMIT_EXPIRED);
    }

    /** Guards against a request that a paused host sends long after it got the permission. */
    @Test
    void requestIsNotSentAfterItsPermissionHasExpired() {
        SteeringState cold = state(upstream("u-a", "near", timer.nowNanos() + COLD_PERIOD.toNanos()));
        SteeringPlacement placement = placement(() -> cold, GrantedQuota.always(timer));
        Permit permit = placement.place(untried()).join().get().permit();
        assertThat(permit.refusalToSend()).isEmpty();
        timer.advance(GrantedQuota.VALIDITY.plusMillis(1));
        assertThat(permit.refusalToSend().map(Failure::code)).contains(ErrorCode.PERMIT_EXPIRED);
    }

    private static SteeringState state(LiveUpstream... upstreams) {
        return new SteeringState(
                Optional.empty(),
                Map.of("vault", List.of(upstreams)),
                Set.of(),
                List.of(),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    private static PlacementRequest untried() {
        return request(Set.of(), download(Set.of()));
    }

    private static void release(Either<Failure, PlacementTarget> placed) {
        placed.get().permit().release(AttemptOutcome.COMPLETED, 1);
    }

    /** The store goes on listing the upstream as ready, and the plan goes on naming it as the home. */
    @Test
    void leavingUpstreamGetsNothingMoreUntilItsNextStart() {
        LiveUpstream a = upstream("u-a", "near", 0);
        AtomicReference<SteeringState> current = new AtomicReference<>(state(a, upstream("u-b", "near", 0)));
        SteeringPlacement placement = placement(current::get);
        Either<Failure, PlacementTarget> first = placement.place(untried()).join();
        String left = nameOf(first);
        first.get().permit().noticed(new UpstreamNotice.Leaving());
        release(first);
        for (int i = 0; i < 50; i++) {
            timer.advance(Duration.ofSeconds(1));
            placement.stateChanged(current.get());
            assertThat(nameOf(placement.place(untried()).join()))
                    .isNotEqualTo(left)
                    .startsWith("u-");
        }
        Upstream again = new Upstream(left, "vault", "near-a", "127.0.0.1", 1, 3, 10);
        current.set(state(started(again, "near", 0, 2)));
        assertThat(nameOf(placement.place(untried()).join())).isEqualTo(left);
    }

    /** A pause that arrives in an answer to an earlier start says nothing about the present one. */
    @Test
    void noticeOfAnEarlierStartDoesNotExcludeThePresentOne() {
        Upstream upstream = new Upstream("u-a", "vault", "near-a", "127.0.0.1", 1, 3, 10);
        AtomicReference<SteeringState> current = new AtomicReference<>(state(started(upstream, "near", 0, 1)));
        SteeringPlacement placement = placement(current::get);
        Either<Failure, PlacementTarget> first = placement.place(untried()).join();
        current.set(state(started(upstream, "near", 0, 2)));
        first.get().permit().noticed(new UpstreamNotice.Leaving());
        assertThat(nameOf(placement.place(untried()).join())).isEqualTo("u-a");
    }

    /** Guards against a late response of an earlier start that makes the host forget that the present one leaves. */
    @ParameterizedTest
    @MethodSource("notices")
    void lateNoticeOfAnEarlierStartKeepsThoseOfThePresentOne(UpstreamNotice late) {
        Upstream upstream = new Upstream("u-a", "vault", "near-a", "127.0.0.1", 1, 3, 10);
        AtomicReference<SteeringState> current = new AtomicReference<>(state(started(upstream, "near", 0, 1)));
        SteeringPlacement placement = placement(current::get);
        Either<Failure, PlacementTarget> earlier = placement.place(untried()).join();
        current.set(state(started(upstream, "near", 0, 2)));
        Either<Failure, PlacementTarget> present = placement.place(untried()).join();
        present.get().permit().noticed(new UpstreamNotice.Leaving());
        earlier.get().permit().noticed(late);
        assertThat(nameOf(placement.place(untried()).join())).isEqualTo("NO_UPSTREAM");
    }

    private static Stream<UpstreamNotice> notices() {
        return Stream.of(
                new UpstreamNotice.Leaving(),
                new UpstreamNotice.Pause(Duration.ofSeconds(1)),
                new UpstreamNotice.RateLimit(1.5),
                new UpstreamNotice.NoRateLimit());
    }

    /** Load pattern: nearly all upstreams of a service pause at the same time; the one left takes what it can. */
    @Test
    void requestsMoveToTheUpstreamsThatDoNotPause() {
        LiveUpstream[] upstreams = new LiveUpstream[8];
        for (int i = 0; i < upstreams.length; i++) {
            upstreams[i] = upstream("u-" + i, "near", 0);
        }
        SteeringState state = state(upstreams);
        SteeringPlacement placement = placement(() -> state);
        for (int i = 1; i < upstreams.length; i++) {
            Either<Failure, PlacementTarget> placed = placement.place(untried()).join();
            placed.get().permit().noticed(new UpstreamNotice.Pause(Duration.ofSeconds(i)));
            release(placed);
        }
        String left = nameOf(placement.place(untried()).join());
        Either<Failure, PlacementTarget> refused =
                placement.place(request(Set.of(left), download(Set.of()))).join();
        assertThat(refused.getLeft().code()).isEqualTo(ErrorCode.NO_UPSTREAM);
        assertThat(refused.getLeft().retryAfter()).contains(Duration.ofSeconds(1));
        timer.advance(Duration.ofMillis(1001));
        assertThat(nameOf(placement
                        .place(request(Set.of(left), download(Set.of())))
                        .join()))
                .startsWith("u-")
                .isNotEqualTo(left);
    }

    @ParameterizedTest
    @CsvSource({"1999, false", "2001, true"})
    void pauseLastsUntilItsEndAndAShorterOneDoesNotEndItEarlier(long millis, boolean accepted) {
        SteeringState state = state(upstream("u-a", "near", 0));
        SteeringPlacement placement = placement(() -> state);
        Either<Failure, PlacementTarget> placed = placement.place(untried()).join();
        placed.get().permit().noticed(new UpstreamNotice.Pause(Duration.ofSeconds(2)));
        placed.get().permit().noticed(new UpstreamNotice.Pause(Duration.ofMillis(500)));
        release(placed);
        timer.advance(Duration.ofMillis(millis));
        assertThat(placement.place(untried()).join().isRight()).isEqualTo(accepted);
    }
}
