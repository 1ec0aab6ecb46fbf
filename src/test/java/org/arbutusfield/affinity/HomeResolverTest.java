package org.arbutusfield.affinity;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.api.Test;

/** Hosts that query their planner in virtual time, while the planner becomes unreachable or upstreams are removed. */
class HomeResolverTest {
    private static final ObjectGroup GROUP = new ObjectGroup("desk", "r", "");

    private final VirtualTimer timer = VirtualTimer.create();
    private final Map<PeerAddress, HomePlanner> planners = new HashMap<>();
    private final List<HomeResolver> resolvers = new ArrayList<>();
    private final List<PeerAddress> unreachable = new ArrayList<>();
    private int queryCount;
    private SteeringState state = state(List.of("u0", "u1", "u2", "u3"), 4);

    private static SteeringState state(List<String> upstreams, int hosts) {
        List<LiveUpstream> live = upstreams.stream()
                .map(name -> new LiveUpstream(
                        new Upstream(name, "desk", "gulf-a", "127.0.0.1", 1, 3, 10),
                        "gulf",
                        0,
                        0,
                        1,
                        WeightedRendezvous.hash(name)))
                .toList();
        List<HostEntry> entries = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            entries.add(new HostEntry(
                    "h" + i,
                    "gulf",
                    "gulf-a",
                    "127.0.0.1:" + (100 + i),
                    "127.0.0.1:" + (200 + i),
                    i == 2 ? 1500 : 210));
        }
        return new SteeringState(
                Optional.empty(), Map.of("desk", live), Set.of(), entries, Map.of(), Map.of(), StoreRevision.NONE);
    }

    private CompletableFuture<Either<Failure, ControlMessage>> call(PeerAddress peer, ControlMessage message) {
        queryCount++;
        if (unreachable.contains(peer)) {
            return CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT)));
        }
        return CompletableFuture.completedFuture(
                Either.right(ControlMessage.homeAnswer(planners.get(peer).answer(message.getHomeQuestion()))));
    }

    private void start() {
        start(4);
    }

    private void start(int hosts) {
        for (int i = 0; i < hosts; i++) {
            HomePlanner planner = HomePlanner.create(() -> state, timer);
            planners.put(new PeerAddress("127.0.0.1", 200 + i), planner);
            resolvers.add(HomeResolver.start(
                    "h" + i, () -> state, (peer, message, timeout) -> call(peer, message), planner, timer));
        }
    }

    private Optional<String> find(int host, long key) {
        return resolvers.get(host).find(GROUP, key).join();
    }

    @Test
    void allHostsResolveTheSameHome() {
        start();
        for (long key = 0; key < 12; key++) {
            Optional<String> home = find(0, key);
            assertThat(home).isPresent();
            for (int host = 1; host < 4; host++) {
                assertThat(find(host, key)).isEqualTo(home);
            }
        }
    }

    @Test
    void objectOfARemovedUpstreamGetsTheSameNewHomeOnAllHosts() {
        start();
        String home = find(0, 7).orElseThrow();
        List<String> rest = new ArrayList<>(List.of("u0", "u1", "u2", "u3"));
        rest.remove(home);
        state = state(rest, 4);
        Optional<String> next = find(0, 7);
        assertThat(rest).contains(next.orElseThrow());
        assertThat(find(3, 7)).isEqualTo(next);
    }

    /**
     * With more hosts than requests per object, nearly every request concerns an object that is new to its host. The
     * number of queries must not grow with objects times hosts.
     */
    @Test
    void queriesGrowWithObjectsAndNotWithObjectsTimesHosts() {
        int hosts = 40;
        int objects = 60;
        int seconds = 6;
        int perSecond = 400;
        Random random = new Random(5);
        state = state(List.of("u0", "u1", "u2", "u3"), hosts);
        start(hosts);
        for (int second = 0; second < seconds; second++) {
            for (int i = 0; i < perSecond; i++) {
                assertThat(find(random.nextInt(hosts), random.nextInt(objects))).isPresent();
            }
            timer.advance(Duration.ofSeconds(1));
        }
        int reports = hosts * (seconds + 1);
        assertThat(queryCount).isLessThanOrEqualTo(reports + perSecond);
    }

    @Test
    void hostWithTheLargestCapacityIsThePlanner() {
        start();
        find(0, 7);
        assertThat(planners.get(new PeerAddress("127.0.0.1", 202)).homes()).containsKey("desk");
    }

    /**
     * Without the planner, cached homes stay in use, and the query for a new object ends at once without a home, so
     * that the caller falls back on hashing.
     */
    @Test
    void cachedHomesStayInUseWhenThePlannerIsUnreachable() {
        start();
        Optional<String> home = find(0, 7);
        unreachable.addAll(planners.keySet());
        assertThat(find(0, 7)).isEqualTo(home);
        int resolved = 0;
        for (int host = 0; host < 4; host++) {
            resolved += find(host, 8).isPresent() ? 1 : 0;
        }
        assertThat(resolved).as("only the planner resolves the new object").isLessThanOrEqualTo(1);
    }

    /** A new planner keeps the homes that hosts used last. */
    @Test
    void newPlannerAdoptsHomesThatHostsReport() {
        start();
        Map<Long, String> before = new HashMap<>();
        for (long key = 0; key < 12; key++) {
            for (int host = 0; host < 4; host++) {
                before.put(key, find(host, key).orElseThrow());
                resolvers.get(host).recordCompleted(GROUP, key, before.get(key), 1_000_000);
            }
        }
        planners.replaceAll((peer, planner) -> HomePlanner.create(() -> state, timer));
        timer.advance(Duration.ofSeconds(2));
        before.forEach((key, home) -> assertThat(find(1, key)).contains(home));
    }
}
