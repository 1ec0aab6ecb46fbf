package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.quota.LimitBroadcast;
import org.arbutusfield.quota.QuotaClient;
import org.arbutusfield.quota.QuotaServer;
import org.arbutusfield.reach.Forwardings;
import org.arbutusfield.reach.HostBroadcast;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LeaderView;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.RegisteredHost;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A fleet of hosts, each with its own placement, under constant load in virtual time, while one of the upstreams names
 * the rate that it accepts from all hosts together. A host learns of the limit from a response only.
 */
class UpstreamRateLimitTest {
    private static final int UPSTREAMS = 16;
    private static final int OBJECTS = 160;
    private static final double REQUESTS_PER_UPSTREAM = 5;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration RESPONSE_TIME = Duration.ofMillis(300);
    /** Time that a host has to act on a response. */
    private static final Duration REACTION = Duration.ofMillis(500);
    /** Time after which the limit must hold, from the first response that names it. */
    private static final Duration SETTLING = Duration.ofSeconds(3);

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final int FIRST_PORT = 1_000;
    private static final String LIMITED = "u-3";
    private static final SharedRetryBudget RETRY_BUDGET = new SharedRetryBudget(0.2, Duration.ofSeconds(10), 120, 12);

    private static final Duration ONE_WAY = Duration.ofMillis(12);

    private final VirtualTimer timer = VirtualTimer.create();
    private final List<Host> hosts = new ArrayList<>();
    /** Times at which requests reached the limited upstream from hosts that were bound by its limit. */
    private final List<Long> boundArrivals = new ArrayList<>();

    private long arrivals;
    private Optional<Double> namedRate = Optional.empty();
    private Duration responseTime = RESPONSE_TIME;
    private double loadPerUpstream = REQUESTS_PER_UPSTREAM;
    /** Time at which the responses arrive that don't name a limit, if it is later. */
    private long heldUntilNanos;

    /** One host. */
    private final class Host {
        private final ControlHandlers handlers = ControlHandlers.create();
        private final SteeringPlacement placement;
        private Optional<Long> toldNanos = Optional.empty();

        private Host(String name, SteeringState state, QuotaServer server) {
            HomeResolver resolver = HomeResolver.start(
                    name,
                    () -> state,
                    (peer, message, timeout) ->
                            CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))),
                    HomePlanner.create(() -> state, timer),
                    timer);
            HostRetryBudget retryBudget =
                    HostRetryBudget.create(RETRY_BUDGET, () -> state.hosts().size(), timer);
            QuotaClient quota = QuotaClient.create(
                    name, () -> state, UpstreamRateLimitTest.this::call, server, outcome -> {}, timer);
            quota.register(handlers);
            placement = SteeringPlacement.create(
                    "gulf",
                    () -> state,
                    resolver,
                    new SharedLimits(retryBudget, quota),
                    Forwardings.unused(name, () -> state, timer),
                    (request, choice) -> {},
                    timer);
        }

        private void send(String object) {
            placement.place(request(object)).thenAccept(placed -> placed.peek(this::arrive));
        }

        private void arrive(PlacementTarget target) {
            if (target.name().equals(LIMITED)) {
                recordArrival();
            }
            timer.after(responseTime, () -> {
                Optional<Double> named = target.name().equals(LIMITED) ? namedRate : Optional.empty();
                long held = named.isPresent() || !target.name().equals(LIMITED) ? 0 : heldUntilNanos - timer.nowNanos();
                timer.after(Duration.ofNanos(Math.max(0, held)), () -> receive(target, named));
            });
        }

        private void recordArrival() {
            arrivals++;
            boolean bound = toldNanos
                    .filter(told -> timer.nowNanos() - told >= REACTION.toNanos())
                    .isPresent();
            if (bound) {
                boundArrivals.add(timer.nowNanos());
            }
        }

        private void receive(PlacementTarget target, Optional<Double> named) {
            if (named.isPresent()) {
                target.permit().noticed(new UpstreamNotice.RateLimit(named.get()));
                toldNanos = toldNanos.or(() -> Optional.of(timer.nowNanos()));
            } else {
                target.permit().noticed(new UpstreamNotice.NoRateLimit());
            }
            target.permit().release(AttemptOutcome.COMPLETED, responseTime.toNanos());
        }
    }

    private static PlacementRequest request(String object) {
        Route route = new Route(
                "r",
                "h",
                "/",
                true,
                false,
                Duration.ofSeconds(2),
                Duration.ofMillis(400),
                2,
                2,
                Set.of(),
                true,
                List.of(new WeightedService("desk", 1)));
        return PlacementRequests.of("desk", Set.of(), Optional.of(route), Optional.of(object));
    }

    private static SteeringState state(int hostCount) {
        List<LiveUpstream> upstreams = IntStream.range(0, UPSTREAMS)
                .mapToObj(i -> new Upstream("u-" + i, "desk", "gulf-a", "127.0.0.1", 9000, 3, 100))
                .map(model -> new LiveUpstream(model, "gulf", 0, 0, 1, WeightedRendezvous.hash(model.name())))
                .toList();
        List<HostEntry> entries = IntStream.range(0, hostCount)
                .mapToObj(i -> new HostEntry(
                        "host-" + i, "gulf", "gulf-a", "127.0.0.1:1", "127.0.0.1:" + (FIRST_PORT + i), 420))
                .toList();
        return new SteeringState(
                Optional.empty(),
                Map.of("desk", upstreams),
                Set.of(),
                entries,
                new LeaderView(Optional.of(new RegisteredHost(entries.get(0), 1, 1)), 0),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    private void startHosts(int count) {
        SteeringState state = state(count);
        LimitBroadcast announcer = LimitBroadcast.of(HostBroadcast.of("host-0", () -> state, this::call));
        QuotaServer leader = QuotaServer.start(() -> OptionalLong.of(0), announcer, timer, new Random(7));
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("host-" + i, state, leader));
        }
        leader.register(hosts.get(0).handlers);
    }

    private CompletableFuture<Either<Failure, ControlMessage>> call(
            PeerAddress peer, ControlMessage message, Duration timeout) {
        CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
        timer.after(
                ONE_WAY,
                () -> hosts.get(peer.port() - FIRST_PORT)
                        .handlers
                        .handle(message)
                        .thenAccept(response -> timer.after(ONE_WAY, () -> result.complete(response))));
        return result;
    }

    /** Sends the load of all callers for some time and returns how many requests reached the limited upstream. */
    private long load(Duration time, Random random) {
        long before = arrivals;
        double sendsPerStep = UPSTREAMS * loadPerUpstream * STEP.toMillis() / 1000.0;
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(STEP)) {
            for (double left = sendsPerStep; random.nextDouble() < left; left--) {
                hosts.get(random.nextInt(hosts.size())).send("object-" + random.nextInt(OBJECTS));
            }
        }
        return arrivals - before;
    }

    private int mostInOneWindow(long fromNanos) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < boundArrivals.size(); last++) {
            while (boundArrivals.get(last) - boundArrivals.get(first) >= WINDOW.toNanos()) {
                first++;
            }
            if (boundArrivals.get(last) >= fromNanos) {
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }

    /** Guards against an upstream in need that names a limit and goes on getting its usual load from all hosts. */
    @ParameterizedTest
    @CsvSource({"16, 1.5, 1", "16, 1.1, 2", "16, 0.5, 3", "25, 1.6, 4", "95, 1.5, 5", "3, 1.5, 6", "16, 0, 7"})
    void sumOverAllHostsKeepsTheRateThatAnUpstreamNames(int hostCount, double perSecond, int seed) {
        Random random = new Random(seed);
        startHosts(hostCount);
        long usual = load(Duration.ofSeconds(20), random);
        namedRate = Optional.of(perSecond);
        long start = timer.nowNanos();
        load(Duration.ofMinutes(2), random);
        assertThat((double) usual).isGreaterThan(20 * REQUESTS_PER_UPSTREAM / 2);
        assertThat((double) mostInOneWindow(start + SETTLING.toNanos()))
                .isLessThanOrEqualTo(perSecond * 1.5 * WINDOW.toSeconds() + 5);
    }

    /** Guards against a limit that outlives its end: most hosts send too seldom to hear of it soon. */
    @ParameterizedTest
    @CsvSource({"16, 1.5, 1", "25, 1.6, 4", "3, 1.5, 6", "16, 0, 7"})
    void upstreamGetsItsLoadAgainAfterTheEndOfItsLimit(int hostCount, double perSecond, int seed) {
        Random random = new Random(seed);
        startHosts(hostCount);
        load(Duration.ofSeconds(20), random);
        namedRate = Optional.of(perSecond);
        load(Duration.ofSeconds(30), random);
        namedRate = Optional.empty();
        load(Duration.ofMinutes(4), random);
        long afterwards = load(Duration.ofSeconds(20), random);
        assertThat((double) afterwards).isGreaterThan(20 * REQUESTS_PER_UPSTREAM / 2);
    }

    private static double tolerated(double perSecond) {
        return perSecond * 1.5 * WINDOW.toSeconds() + 5;
    }

    /** Guards against hosts that know an earlier, higher limit and use up the new one for all. */
    @ParameterizedTest
    @CsvSource({"8, 1, 640", "4, 0.5, 640", "6, 1.5, 640", "6, 1.5, 300", "8, 1, 2500", "2, 0.3, 640"})
    void sumOverAllHostsKeepsALimitThatFalls(double before, double after, int responseMillis) {
        responseTime = Duration.ofMillis(responseMillis);
        for (int seed = 0; seed < 5; seed++) {
            Random random = new Random(seed);
            hosts.clear();
            boundArrivals.clear();
            startHosts(20);
            load(Duration.ofSeconds(5), random);
            namedRate = Optional.of(before);
            load(Duration.ofSeconds(12), random);
            namedRate = Optional.of(after);
            long fall = timer.nowNanos();
            load(Duration.ofSeconds(30), random);
            namedRate = Optional.empty();
            assertThat((double) mostInOneWindow(fall + SETTLING.plus(WINDOW).toNanos()))
                    .as("seed %s", seed)
                    .isLessThanOrEqualTo(tolerated(after));
        }
    }

    /**
     * Guards against a response that was sent before the limit was named, arrives later, and ends it: the host then
     * sends all its load until its next response.
     */
    @ParameterizedTest
    @CsvSource({"2.28, 640", "2.28, 5000", "0.5, 2500"})
    void lateResponseWithoutTheLimitDoesNotEndIt(double perSecond, int responseMillis) {
        loadPerUpstream = 15;
        responseTime = Duration.ofMillis(responseMillis);
        Random random = new Random(1);
        startHosts(20);
        load(Duration.ofSeconds(15), random);
        heldUntilNanos = timer.nowNanos() + Duration.ofSeconds(16).toNanos();
        load(Duration.ofSeconds(6), random);
        namedRate = Optional.of(perSecond);
        long start = timer.nowNanos();
        load(Duration.ofSeconds(25), random);
        assertThat((double) mostInOneWindow(
                        start + SETTLING.plus(WINDOW).plus(responseTime).toNanos()))
                .isLessThanOrEqualTo(tolerated(perSecond));
    }

    /** Guards against a limit whose end each host learns by itself, which takes as long as all of them need a turn. */
    @ParameterizedTest
    @CsvSource({"20, 1.5, 640", "95, 1.5, 640", "20, 0.5, 640", "20, 2.28, 2500"})
    void allHostsKnowTheEndOfALimitSoonAfterOneHasHeardIt(int hostCount, double perSecond, int responseMillis) {
        responseTime = Duration.ofMillis(responseMillis);
        Random random = new Random(1);
        startHosts(hostCount);
        load(Duration.ofSeconds(5), random);
        namedRate = Optional.of(perSecond);
        load(Duration.ofSeconds(20), random);
        namedRate = Optional.empty();
        // One request after the last response with the limit, and its response.
        load(Duration.ofSeconds(1).plusMillis((long) (2000 / perSecond)).plus(responseTime.multipliedBy(2)), random);
        long afterwards = load(Duration.ofSeconds(10), random);
        assertThat((double) afterwards).isGreaterThan(10 * REQUESTS_PER_UPSTREAM / 2);
    }
}
