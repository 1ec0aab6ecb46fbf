package org.arbutusfield.steering;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
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

/**
 * A fleet of hosts, each with its own placement, under load in virtual time, while one of the upstreams names the rate
 * that it accepts from all hosts together. A host learns of the limit from responses and from other hosts only.
 *
 * <p>It counts what the rule counts: requests that reach the upstream from hosts that had passed on a response with a
 * limit half a second before or earlier.
 */
final class LimitedUpstreamFleet {
    static final double REQUESTS_PER_UPSTREAM = 5;
    static final Duration WINDOW = Duration.ofSeconds(4);
    /** Time after which the limit must hold, from the first response that names it. */
    static final Duration SETTLING = Duration.ofSeconds(3);

    private static final int UPSTREAMS = 16;
    private static final int OBJECTS = 160;
    private static final int FIRST_PORT = 1_000;
    private static final Duration STEP = Duration.ofMillis(10);
    /** Time that a host has to act on a response. */
    private static final Duration REACTION = Duration.ofMillis(500);

    private static final Duration ONE_WAY = Duration.ofMillis(12);
    private static final String LIMITED = "u-3";
    private static final SharedRetryBudget RETRY_BUDGET = new SharedRetryBudget(0.2, Duration.ofSeconds(10), 120, 12);

    final VirtualTimer timer = VirtualTimer.create();
    final Random random;
    Duration responseTime = Duration.ofMillis(300);
    double loadPerUpstream = REQUESTS_PER_UPSTREAM;
    /** Time at which the responses of the limited upstream arrive that don't name a limit, if it is later. */
    long heldUntilNanos;
    /** Responses of the limited upstream are this much later, at random. */
    Duration maxLateness = Duration.ZERO;
    /** Part of the messages between hosts that are lost. */
    double lostShare;

    private final List<Host> hosts = new ArrayList<>();
    private final List<Long> boundArrivals = new ArrayList<>();
    private final List<NamedRate> history = new ArrayList<>();
    private SteeringState state;
    private long arrivals;
    private int leader;
    private long termStartNanos;

    private LimitedUpstreamFleet(int seed) {
        this.random = new Random(seed);
    }

    /** Creates a fleet whose first host leads. */
    static LimitedUpstreamFleet start(int hostCount, int seed) {
        LimitedUpstreamFleet fleet = new LimitedUpstreamFleet(seed);
        fleet.state = state(hostCount, 0);
        for (int i = 0; i < hostCount; i++) {
            fleet.hosts.add(fleet.new Host(i));
        }
        return fleet;
    }

    /** A rate that the upstream named from some time on. */
    private record NamedRate(long sinceNanos, OptionalDouble perSecond) {}

    /** One host. */
    private final class Host {
        private final int number;
        private final ControlHandlers handlers = ControlHandlers.create();
        private final SteeringPlacement placement;
        private SteeringState known = state;
        private boolean olderBuild;
        private Optional<Long> toldNanos = Optional.empty();

        private Host(int number) {
            this.number = number;
            String name = "host-" + number;
            HomeResolver resolver = HomeResolver.start(
                    name,
                    () -> known,
                    (peer, message, timeout) ->
                            CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))),
                    HomePlanner.create(() -> known, timer),
                    timer);
            HostRetryBudget retryBudget =
                    HostRetryBudget.create(RETRY_BUDGET, () -> known.hosts().size(), timer);
            LimitBroadcast announcer = LimitBroadcast.of(HostBroadcast.of(name, () -> known, this::call));
            QuotaServer server = QuotaServer.start(
                    () -> leader == number ? OptionalLong.of(termStartNanos) : OptionalLong.empty(),
                    announcer,
                    timer,
                    new Random(number));
            server.register(handlers);
            QuotaClient quota = QuotaClient.create(name, () -> known, this::call, server, outcome -> {}, timer);
            quota.register(handlers);
            placement = SteeringPlacement.create(
                    "gulf",
                    () -> known,
                    resolver,
                    new SharedLimits(retryBudget, quota),
                    Forwardings.unused(name, () -> known, timer),
                    (request, choice) -> {},
                    timer);
        }

        private CompletableFuture<Either<Failure, ControlMessage>> call(
                PeerAddress peer, ControlMessage message, Duration timeout) {
            CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
            timer.after(timeout, () -> result.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
            Host to = hosts.get(peer.port() - FIRST_PORT);
            boolean acrossBuilds = olderBuild || to.olderBuild;
            ControlMessage sent = acrossBuilds ? OlderBuild.known(message) : message;
            onTheWay(() -> to.handlers
                    .handle(sent)
                    .thenAccept(response -> onTheWay(
                            () -> result.complete(acrossBuilds ? response.map(OlderBuild::known) : response))));
            return result;
        }

        private void onTheWay(Runnable arrival) {
            if (random.nextDouble() >= lostShare) {
                timer.after(ONE_WAY, arrival);
            }
        }

        private void send(String object) {
            placement.place(request(object)).thenAccept(placed -> placed.peek(this::arrive));
        }

        private void arrive(PlacementTarget target) {
            boolean limited = target.name().equals(LIMITED);
            if (limited) {
                recordArrival();
            }
            timer.after(responseTime, () -> {
                OptionalDouble named = limited ? namedRate() : OptionalDouble.empty();
                long held = limited && named.isEmpty() ? heldUntilNanos - timer.nowNanos() : 0;
                long late = limited ? (long) (random.nextDouble() * maxLateness.toNanos()) : 0;
                timer.after(Duration.ofNanos(Math.max(held, late)), () -> receive(target, named));
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

        private void receive(PlacementTarget target, OptionalDouble named) {
            if (named.isPresent()) {
                target.permit().noticed(new UpstreamNotice.RateLimit(named.getAsDouble()));
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

    private static SteeringState state(int hostCount, int leader) {
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
                new LeaderView(Optional.of(new RegisteredHost(entries.get(leader), 1, 1)), 0),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    /** The hosts from some number on are of a build that knows nothing of limits in messages. */
    void olderBuildFrom(int number) {
        hosts.forEach(host -> host.olderBuild = host.number >= number);
    }

    /**
     * Ends the leader's term and starts that of another host, of which the hosts learn at different times.
     *
     * @param number number of the next leader
     * @param gap time without a leader
     * @param maxDelay longest time until a host knows
     */
    void changeLeader(int number, Duration gap, Duration maxDelay) {
        leader = -1;
        timer.after(gap, () -> {
            leader = number;
            termStartNanos = timer.nowNanos();
            state = state(hosts.size(), number);
            SteeringState next = state;
            for (Host host : hosts) {
                long delay = host.number == number ? 0 : (long) (random.nextDouble() * maxDelay.toNanos());
                timer.after(Duration.ofNanos(delay), () -> host.known = next);
            }
        });
    }

    int leader() {
        return leader;
    }

    int size() {
        return hosts.size();
    }

    /** The limited upstream names another rate, or none, from now on. */
    void name(OptionalDouble perSecond) {
        history.add(new NamedRate(timer.nowNanos(), perSecond));
    }

    private OptionalDouble namedRate() {
        return history.isEmpty()
                ? OptionalDouble.empty()
                : history.get(history.size() - 1).perSecond();
    }

    /** Sends the load of all callers for some time and returns how many requests reached the limited upstream. */
    long load(Duration time) {
        long before = arrivals;
        double sendsPerStep = UPSTREAMS * loadPerUpstream * STEP.toMillis() / 1000.0;
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(STEP)) {
            for (double left = sendsPerStep; random.nextDouble() < left; left--) {
                hosts.get(random.nextInt(hosts.size())).send("object-" + random.nextInt(OBJECTS));
            }
        }
        return arrivals - before;
    }

    static double tolerated(double perSecond) {
        return perSecond * 1.5 * WINDOW.toSeconds() + 5;
    }

    /** Returns the most requests that the rule counts in one window that ends at some time or later. */
    int mostInOneWindow(long fromNanos) {
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

    /**
     * Returns the largest excess over what the rule allows in any window that lies within one time of need and begins
     * after its settling. A limit counts until the response that replaces it can have been passed on.
     */
    double worstExcess() {
        double worst = Double.NEGATIVE_INFINITY;
        for (int first = 0; first < boundArrivals.size(); first++) {
            long start = boundArrivals.get(first);
            int last = first;
            while (last < boundArrivals.size() && boundArrivals.get(last) - start < WINDOW.toNanos()) {
                last++;
            }
            OptionalDouble allowed = allowed(start);
            if (allowed.isPresent()) {
                worst = Math.max(worst, last - first - allowed.getAsDouble());
            }
        }
        return worst;
    }

    /** Returns what the rule allows in the window from some time on; empty if it says nothing of that window. */
    private OptionalDouble allowed(long startNanos) {
        long knownAfter = responseTime.plus(maxLateness).plus(REACTION).toNanos();
        double sum = 0;
        int steps = 400;
        for (int i = 0; i <= steps; i++) {
            long at = startNanos + WINDOW.toNanos() * i / steps;
            OptionalDouble rate = highestSince(at - knownAfter - SETTLING.toNanos(), at - knownAfter, at);
            if (rate.isEmpty()) {
                return OptionalDouble.empty();
            }
            sum += rate.getAsDouble() / (steps + 1);
        }
        return OptionalDouble.of(tolerated(sum));
    }

    /**
     * Returns the highest limit from one time to another, if there has been one without a break since an earlier time.
     */
    private OptionalDouble highestSince(long settlingNanos, long fromNanos, long toNanos) {
        double highest = 0;
        for (int i = history.size() - 1; i >= 0; i--) {
            NamedRate rate = history.get(i);
            if (rate.sinceNanos() > toNanos) {
                continue;
            }
            if (rate.perSecond().isEmpty()) {
                return OptionalDouble.empty();
            }
            boolean counts = i == history.size() - 1 || history.get(i + 1).sinceNanos() >= fromNanos;
            highest = counts ? Math.max(highest, Math.max(0.3, rate.perSecond().getAsDouble())) : highest;
            if (rate.sinceNanos() <= settlingNanos) {
                return OptionalDouble.of(highest);
            }
        }
        return OptionalDouble.empty();
    }
}
