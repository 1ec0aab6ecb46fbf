package org.arbutusfield.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.steering.PlacementRequests;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.team.Team;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Hosts through which a host that is cut off passes on the requests of a team. */
class TeamForwardingTest {
    private static final int UPSTREAMS = 6;
    private static final int HOSTS = 6;
    private static final int REQUESTS = 200;
    private static final List<String> REGIONS = List.of("a", "b", "c");

    private final VirtualTimer timer = VirtualTimer.create();

    private static SteeringState state() {
        List<LiveUpstream> upstreams = IntStream.range(0, UPSTREAMS)
                .mapToObj(i -> new LiveUpstream(
                        new Upstream("u-" + i, "desk", "d", "127.0.0.1", 100 + i, 3, 64), "a", 0, 0, 1, i))
                .toList();
        List<HostEntry> hosts = IntStream.range(0, HOSTS)
                .mapToObj(i -> new HostEntry(
                        "host-" + i, REGIONS.get(i % REGIONS.size()), "d", "127.0.0.1:1", "127.0.0.1:2", 420))
                .toList();
        return new SteeringState(
                Optional.empty(), Map.of("desk", upstreams), Set.of(), hosts, Map.of(), Map.of(), StoreRevision.NONE);
    }

    private PeerForwarding cutOff() {
        UpstreamReach reach = UpstreamReach.create(
                TeamForwardingTest::state,
                address -> CompletableFuture.completedFuture(UpstreamProbe.Result.NO_ANSWER),
                timer,
                new SplittableRandom(1));
        PeerForwarding forwarding = PeerForwarding.create(
                "host-0", "a", 420, TeamForwardingTest::state, reach, timer, new SplittableRandom(1));
        for (int round = 0; round < 2; round++) {
            IntStream.range(0, UPSTREAMS).forEach(i -> forwarding.failed("desk", "u-" + i));
            timer.advance(Duration.ofMillis(500));
        }
        assertThat(reach.cutOff("desk")).isTrue();
        return forwarding;
    }

    private static PlacementRequest request(Optional<Team> team) {
        PlacementRequest request = PlacementRequests.of("desk", Set.of(), Optional.empty(), Optional.empty());
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

    /** Guards against a request that passes through a host in a region that its team forbids, its own included. */
    @ParameterizedTest
    @CsvSource({
        "-,    host-3",
        "a,    host-3",
        "b,    host-1+host-4",
        "c,    host-2+host-5",
        "none, HOST_CUT_OFF",
    })
    void hostsOutsideTheTeamsRegionsAreNotUsed(String region, String expected) {
        PeerForwarding forwarding = cutOff();
        Optional<Team> team = region.equals("-")
                ? Optional.empty()
                : Optional.of(new Team("blue", OptionalInt.empty(), 0, 0, Set.of(region)));
        Set<String> used = new TreeSet<>();
        for (int i = 0; i < REQUESTS; i++) {
            used.add(forwarding
                    .place(request(team))
                    .orElseThrow()
                    .fold(failure -> failure.code().name(), target -> {
                        target.permit().release(AttemptOutcome.COMPLETED, 1);
                        return ((PlacementTarget.HostTarget) target).name();
                    }));
        }
        assertThat(String.join("+", used)).isEqualTo(expected);
    }
}
