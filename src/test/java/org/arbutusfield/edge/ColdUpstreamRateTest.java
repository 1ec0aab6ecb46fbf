package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.platform.PlatformItemDecoder;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.reach.Forwardings;
import org.arbutusfield.reach.RestartedUpstreams;
import org.arbutusfield.state.ContentStore;
import org.arbutusfield.state.FaultyStore;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.StateCache;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.state.StoreWatcher;
import org.arbutusfield.steering.HostRetryBudget;
import org.arbutusfield.steering.PlacementRequests;
import org.arbutusfield.steering.SharedRetryBudget;
import org.arbutusfield.steering.SteeringPlacement;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Twenty hosts with the real watcher, cache, registration and placement send as many requests as they may to a cold
 * upstream, in virtual time, while the store makes them disagree about the list of hosts.
 *
 * <p>Checked: in no second does the upstream get more requests than its rate, the tolerated excess and the tolerated
 * number beyond it.
 */
class ColdUpstreamRateTest {
    private static final int HOSTS = 20;
    private static final double RATE = 7.6;
    private static final double TOLERATED_PER_SECOND = RATE * 1.5 + 5;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofMillis(2500);
    private static final Duration REGISTRATION = Duration.ofSeconds(6);
    private static final Duration OUTAGE = Duration.ofMillis(4600);
    private static final Duration AFTER_OUTAGE = Duration.ofSeconds(6);
    private static final SharedRetryBudget RETRY_BUDGET = new SharedRetryBudget(0.2, Duration.ofSeconds(10), 120, 12);
    private static final String ROUTES = "{\"version\":\"r1\",\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
            + "\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[],\"upstreams\":[{\"name\":\"desk\","
            + "\"health_path\":\"/health\",\"max_connections\":660,\"cold_start\":\"3s\",\"cold_per_s\":7.6}]}";
    private static final Duration RETURN = Duration.ofSeconds(3);
    private static final int TURNED_AWAY = 7;
    private static final int COLD_UPSTREAMS = 7;
    private static final int WARM_UPSTREAMS = 17;
    /** Mean load of an upstream while many more callers than usual press. */
    private static final double REQUESTS_PER_UPSTREAM = 26;

    private static final Duration COLD_PERIOD = Duration.ofSeconds(3);
    private static final int AGAIN_PORT = 10;
    private static final int OTHERS_PORT = 9;
    private static final String ENTRY = "{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"details\":{\"service\":"
            + "\"desk\",\"version\":\"v\",\"zone\":\"d\",\"slots\":9},\"status\":{\"state\":\"ready\",\"sequence\":1,"
            + "\"cold_remaining\":\"%dms\"}}";

    /** One host. */
    private static final class Host {
        private final VirtualTimer timer;
        private final FaultyStore store;
        private final UpstreamProbe probe;
        private String name;
        private HostRegistrar registrar;
        private SteeringPlacement placement;
        private StoreWatcher watcher;
        private RestartedUpstreams restarts;
        private boolean connects = true;
        private SteeringState state = SteeringState.empty();

        private Host(VirtualTimer timer, FaultyStore store, UpstreamProbe probe) {
            this.timer = timer;
            this.store = store;
            this.probe = probe;
        }

        private void start(String hostName) {
            name = hostName;
            HostEntry self = new HostEntry(name, "g", "d", "127.0.0.1:1", "127.0.0.1:2", 1);
            HomePlanner planner = HomePlanner.create(() -> state, timer);
            HomeResolver resolver = HomeResolver.start(
                    name,
                    () -> state,
                    (peer, message, timeout) ->
                            CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))),
                    planner,
                    timer);
            HostRetryBudget retryBudget =
                    HostRetryBudget.create(RETRY_BUDGET, () -> state.hosts().size(), timer);
            placement = SteeringPlacement.create(
                    name,
                    "g",
                    () -> state,
                    resolver,
                    retryBudget,
                    Forwardings.unused(name, () -> state, timer),
                    (request, choice) -> {},
                    timer);
            StoreHealth health = StoreHealth.create();
            registrar = HostRegistrar.start(store, timer, self, health);
            StateCache cache = StateCache.create(PlatformItemDecoder.create(), Map.of("d", "g"));
            restarts = RestartedUpstreams.create(probe, timer, this::install);
            watcher = StoreWatcher.start(store, timer, cache, MAX_PROPAGATION_DELAY, health, restarts::stateChanged);
        }

        private void install(SteeringState next) {
            state = next;
            placement.stateChanged(next);
            registrar.stateChanged(next);
        }

        /** Does what a host does when its connections to an upstream are lost, fail to open, or open again. */
        private void connect(boolean succeeds) {
            if (connects != succeeds) {
                connects = succeeds;
                restarts.mayHaveRestarted(new InetSocketAddress(InetAddress.getLoopbackAddress(), AGAIN_PORT));
                watcher.refreshSoon();
            }
        }

        /** Sends a request if an upstream may get it; returns the upstream. */
        private Optional<String> send() {
            Either<Failure, PlacementTarget> placed = placement.place(request()).join();
            placed.peek(target -> target.permit().release(AttemptOutcome.COMPLETED, 1));
            return placed.map(PlacementTarget::name).toJavaOptional();
        }

        private static PlacementRequest request() {
            return PlacementRequests.of("desk", Set.of(), Optional.empty(), Optional.empty());
        }
    }

    private final VirtualTimer timer = VirtualTimer.create();
    private final KeyValueContent content = KeyValueContent.create(timer);
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Deque<Long>> arrivals = new HashMap<>();
    private boolean againRuns = true;
    private int maxPerSecond;
    private int total;

    private void startHosts(Random random) {
        content.put("op/config", ROUTES.getBytes(StandardCharsets.UTF_8), 0);
        for (int i = 0; i < HOSTS; i++) {
            WatchableStore direct = ContentStore.of(content, timer);
            Host host = new Host(timer, FaultyStore.of(direct), this::probe);
            host.start("host-" + i);
            hosts.add(host);
            timer.advance(Duration.ofMillis(random.nextInt(100)));
        }
        timer.advance(REGISTRATION);
    }

    /** The port of the upstream that starts again is closed while it is down; the others are open. */
    private CompletableFuture<UpstreamProbe.Result> probe(InetSocketAddress address) {
        boolean open = address.getPort() != AGAIN_PORT || againRuns;
        return CompletableFuture.completedFuture(open ? UpstreamProbe.Result.ACCEPTED : UpstreamProbe.Result.REFUSED);
    }

    /** The hosts reach the store again one after the other. */
    private void makeStoreReachable(Random random) {
        for (Host host : hosts) {
            timer.after(
                    Duration.ofMillis(random.nextInt((int) RETURN.toMillis())), () -> host.store.setReachable(true));
        }
    }

    private void addColdUpstreams() {
        for (int i = 0; i < COLD_UPSTREAMS; i++) {
            report("u-" + i, 2, Duration.ofSeconds(30));
        }
    }

    private void report(String upstream, int start, Duration cold) {
        byte[] entry = ENTRY.formatted(portOf(upstream), start, cold.toMillis()).getBytes(StandardCharsets.UTF_8);
        content.put("servers/" + upstream, entry, 0);
    }

    private static int portOf(String upstream) {
        return upstream.equals("again") ? AGAIN_PORT : OTHERS_PORT;
    }

    /** All hosts send what they may, in varying order, for some time. */
    private void sendFor(Duration time, Random random) {
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(STEP)) {
            int first = random.nextInt(HOSTS);
            for (int i = 0; i < HOSTS; i++) {
                hosts.get((first + i) % HOSTS).send().ifPresent(this::recordArrival);
            }
        }
    }

    private void recordArrival(String upstream) {
        total++;
        Deque<Long> times = arrivals.computeIfAbsent(upstream, name -> new ArrayDeque<>());
        times.add(timer.nowNanos());
        while (timer.nowNanos() - times.peek() >= SECOND.toNanos()) {
            times.remove();
        }
        maxPerSecond = Math.max(maxPerSecond, times.size());
    }

    /**
     * Guards against the flood of a cold upstream by two sets of owners: the store turns some hosts away and drops
     * their registrations, and these hosts go on with the list of hosts that they have.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 89, 92, 101})
    void coldUpstreamIsNotFloodedWhenTheStoreTurnsSomeHostsAway(int seed) {
        Random random = new Random(seed);
        startHosts(random);
        addColdUpstreams();
        sendFor(SECOND, random);
        Collections.shuffle(hosts, random);
        for (Host host : hosts.subList(0, TURNED_AWAY)) {
            host.store.setReachable(false);
            content.list("hosts/" + host.name, "", 1).forEach(item -> content.endLease(item.lease()));
        }
        sendFor(AFTER_OUTAGE, random);
        assertThat((double) maxPerSecond).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat((double) total).isGreaterThan(RATE);
    }

    /**
     * Guards against the flood of a cold upstream by hosts that each work with a different list of hosts: the leases of
     * all hosts lapse in an outage of the store, and each host registers again when it reaches the store.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void coldUpstreamIsNotFloodedWhenAllHostsRegisterAgain(int seed) {
        Random random = new Random(seed);
        startHosts(random);
        hosts.forEach(host -> host.store.setReachable(false));
        timer.advance(OUTAGE);
        addColdUpstreams();
        makeStoreReachable(random);
        sendFor(AFTER_OUTAGE, random);
        assertThat((double) maxPerSecond).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat((double) total).isGreaterThan(RATE);
    }

    /**
     * Guards against the flood of an upstream that starts again under its id, and is cold, before the hosts have read
     * its new entry. All hosts lose connections that they have just used when it ends.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 500, 1000})
    void upstreamThatStartsAgainIsNotFloodedBeforeItsEntryIsRead(int downMillis) {
        Random random = new Random(downMillis);
        startHosts(random);
        report("again", 1, Duration.ZERO);
        for (int i = 0; i < WARM_UPSTREAMS; i++) {
            report("warm-" + i, 1, Duration.ZERO);
        }
        timer.advance(MAX_PROPAGATION_DELAY);
        // Any other change makes the hosts open their next watch late.
        report("warm-0", 1, Duration.ZERO);
        hosts.forEach(host -> host.watcher.refreshSoon());
        load(Duration.ofMillis(downMillis), AttemptOutcome.FAILED, random);
        arrivals.clear();
        maxPerSecond = 0;
        report("again", 2, COLD_PERIOD);
        load(COLD_PERIOD, AttemptOutcome.COMPLETED, random);
        assertThat((double) maxPerSecond).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat(maxPerSecond).as("the upstream got requests").isPositive();
    }

    /**
     * Guards against the flood of an upstream that starts again under its id, and is cold, while no host can read its
     * new entry because the store is away.
     */
    @ParameterizedTest
    @ValueSource(ints = {500, 1000, 3000})
    void upstreamThatStartsAgainWhileTheStoreIsAwayIsNotFlooded(int downMillis) {
        Random random = new Random(downMillis);
        startHosts(random);
        report("again", 1, Duration.ZERO);
        for (int i = 0; i < WARM_UPSTREAMS; i++) {
            report("warm-" + i, 1, Duration.ZERO);
        }
        timer.advance(MAX_PROPAGATION_DELAY);
        load(SECOND, AttemptOutcome.COMPLETED, random);
        hosts.forEach(host -> host.store.setReachable(false));
        // Most hosts have sent it a request in the last two seconds, and lose that connection.
        againRuns = false;
        hosts.subList(0, HOSTS / 2).forEach(host -> host.connect(false));
        load(Duration.ofMillis(downMillis), AttemptOutcome.FAILED, random);
        arrivals.clear();
        maxPerSecond = 0;
        load(COLD_PERIOD, AttemptOutcome.COMPLETED, random);
        assertThat((double) maxPerSecond).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat(maxPerSecond).as("the upstream got requests").isPositive();
    }

    /** Sends the load of many callers through all hosts; requests to the upstream that starts again end as given. */
    private void load(Duration time, AttemptOutcome outcome, Random random) {
        double sends = (WARM_UPSTREAMS + 1) * REQUESTS_PER_UPSTREAM * STEP.toMillis() / 1000;
        againRuns = outcome == AttemptOutcome.COMPLETED;
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(STEP)) {
            for (double left = sends; left > random.nextDouble(); left--) {
                Host host = hosts.get(random.nextInt(HOSTS));
                PlacementTarget target =
                        host.placement.place(Host.request()).join().get();
                boolean again = target.name().equals("again");
                target.permit().release(again ? outcome : AttemptOutcome.COMPLETED, 1);
                if (again) {
                    host.connect(outcome == AttemptOutcome.COMPLETED);
                }
                if (again && outcome == AttemptOutcome.COMPLETED) {
                    recordArrival(target.name());
                }
            }
        }
    }
}
