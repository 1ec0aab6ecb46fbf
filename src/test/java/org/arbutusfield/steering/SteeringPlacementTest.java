package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Placement of requests with large responses when the upstreams in the host's region can't serve them. */
class SteeringPlacementTest {
    private static final Duration COLD_PERIOD = Duration.ofSeconds(3);

    private final VirtualTimer timer = VirtualTimer.create();

    private static LiveUpstream upstream(String name, String region, long coldUntilNanos) {
        Upstream upstream = new Upstream(name, "vault", region + "-a", "127.0.0.1", 1, 3, 10);
        return new LiveUpstream(upstream, region, coldUntilNanos, 0, WeightedRendezvous.hash(name));
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
        RequestClass requestClass = new RequestClass("r", List.of(), "/", true, true, 2_000);
        Service service = new Service("vault", 0, 0, 0, List.of(requestClass), List.of());
        return new PlacementRequest(
                "1",
                service,
                requestClass,
                "GET",
                "/",
                Duration.ofSeconds(2),
                new InetSocketAddress(0),
                0,
                tried,
                Optional.of(route),
                Optional.of("17"));
    }

    private String placedAt(SteeringState state, PlacementRequest request) {
        HomePlanner planner = HomePlanner.create(() -> state, timer);
        HomeResolver resolver = HomeResolver.start(
                "h",
                () -> state,
                (peer, message, timeout) ->
                        CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))),
                planner,
                timer);
        HostRetryBudget retryBudget =
                HostRetryBudget.create(new SharedRetryBudget(0.2, COLD_PERIOD, 10, 2), () -> 1, timer);
        SteeringPlacement placement = SteeringPlacement.create(
                "h", "near", () -> state, resolver, retryBudget, (placementRequest, choice) -> {}, timer);
        Either<Failure, PlacementTarget> placed = placement.place(request).join();
        return placed.fold(failure -> failure.code().name(), PlacementTarget::name);
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
                1);
        Set<String> regions = allowedRegion.isEmpty() ? Set.of() : Set.of(allowedRegion);
        Set<String> triedUpstreams = tried.isEmpty() ? Set.of() : Set.of(tried);
        assertThat(placedAt(state, request(triedUpstreams, download(regions)))).isEqualTo(expected);
    }
}
