package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.team.Team;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The regions and the rank that a team and a route give to a request. */
class TeamRegionsTest {
    private static final int ROUTE_PRIORITY = 2;
    private static final int SELECTIONS = 200;

    private static Set<String> names(String regions) {
        return regions.equals("-") ? Set.of() : Set.copyOf(List.of(regions.split("\\+")));
    }

    private static PlacementRequest request(String routeRegions, Optional<Team> team) {
        Route route = new Route(
                "r",
                "h",
                "/",
                true,
                false,
                Duration.ofSeconds(2),
                Duration.ofMillis(400),
                ROUTE_PRIORITY,
                2,
                names(routeRegions),
                false,
                List.of(new WeightedService("desk", 1)));
        PlacementRequest request = PlacementRequests.of("desk", Set.of(), Optional.of(route), Optional.empty());
        return new PlacementRequest(
                request.requestId(),
                request.service(),
                request.requestClass(),
                request.method(),
                request.path(),
                request.remaining(),
                request.caller(),
                request.hops(),
                request.tried(),
                request.route(),
                request.objectKey(),
                team);
    }

    private static Team team(OptionalInt priority, String regions) {
        return new Team("blue", priority, 0, 0, names(regions));
    }

    private static LiveUpstream upstream(String region) {
        String name = "u-" + region;
        Upstream upstream = new Upstream(name, "desk", region + "-a", "127.0.0.1", 1, 3, 10);
        return new LiveUpstream(upstream, region, 0, 0, 1, WeightedRendezvous.hash(name));
    }

    /** Guards against a request that runs in a region which its route or its team forbids. */
    @ParameterizedTest
    @CsvSource({
        "-,         -,          u-a+u-b+u-c",
        "a+b,       -,          u-a+u-b",
        "-,         b+c,        u-b+u-c",
        "a+b,       b+c,        u-b",
        "a,         b,          NO_UPSTREAM",
        "-,         elsewhere,  NO_UPSTREAM",
    })
    void regionsOfRouteAndTeamBothBind(String ofRoute, String ofTeam, String expected) {
        SteeringState state = new SteeringState(
                Optional.empty(),
                Map.of(
                        "desk",
                        Stream.of("a", "b", "c").map(TeamRegionsTest::upstream).toList()),
                Set.of(),
                List.of(),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
        UpstreamSelector selector =
                UpstreamSelector.of(UpstreamAvailability.create(), UpstreamBackoff.create(), upstream -> 0);
        PlacementRequest request = request(ofRoute, Optional.of(team(OptionalInt.empty(), ofTeam)));
        Set<String> selected = new TreeSet<>();
        for (int i = 0; i < SELECTIONS; i++) {
            selected.add(selector.select(request, Optional.empty(), Optional.of("u-a"), upstream -> true, state, 0)
                    .fold(
                            failure -> failure.code().name(),
                            found -> found.upstream().name()));
        }
        // The home is used whenever the request may go there.
        assertThat(expected.contains("u-a") ? Set.of("u-a") : names(expected)).isEqualTo(selected);
    }

    /** Guards against a team's priority that is lost, or one of 0 that is taken for none. */
    @Test
    void priorityOfTheTeamTakesPrecedence() {
        assertThat(request("-", Optional.empty()).rank()).isEqualTo(ROUTE_PRIORITY);
        assertThat(request("-", Optional.of(team(OptionalInt.empty(), "-"))).rank())
                .isEqualTo(ROUTE_PRIORITY);
        assertThat(request("-", Optional.of(team(OptionalInt.of(0), "-"))).rank())
                .isZero();
        assertThat(request("-", Optional.of(team(OptionalInt.of(7), "-"))).rank())
                .isEqualTo(7);
    }
}
