package org.arbutusfield.home;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.HostEntry;
import org.arbutusfield.follow.SteeringState;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.HomeQuestion;
import org.arbutusfield.wire.gen.ObjectHome;
import org.arbutusfield.wire.gen.RouteUse;

/**
 * Knows the homes of the objects that this host serves.
 *
 * <p>Problem: with many hosts almost every request concerns an object that its host has not served before, so a
 * question for each would cost as many messages as there are requests.
 *
 * <p>Idea: each answer of the planner carries all homes that changed since the version of the plan that the host knows.
 * A host asks when an object is new to it, and reports once in a while what it saw of the objects it serves; either way
 * it learns the whole plan.
 *
 * <p>While the planner doesn't answer, this host goes without for a moment, and its caller falls back on hashing. Runs
 * on one event loop.
 */
public final class HomeFinder {
    private static final Logger LOG = LogManager.getLogger(HomeFinder.class);
    private static final Duration REFRESH = Duration.ofSeconds(1);
    /** Hosts that report to one planner each period; with more hosts each one reports less often. */
    private static final int REPORTS_PER_PERIOD = 150;

    private static final Duration QUESTION_TIMEOUT = Duration.ofMillis(150);
    private static final Duration PLANNER_PAUSE = Duration.ofSeconds(1);
    private static final Duration FORGET = Duration.ofSeconds(10);

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final HomePlanner ownPlanner;
    private final TimerService timer;
    private final Map<ObjectGroup, Map<Long, Use>> groups = new HashMap<>();
    private final Map<String, KnownHomes> plans = new HashMap<>();
    private final Map<Long, CompletableFuture<Optional<String>>> asking = new HashMap<>();
    private final Map<String, String> planners = new HashMap<>();
    private final Map<String, Long> pausedUntilNanos = new HashMap<>();
    private int periods;

    private HomeFinder(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner ownPlanner,
            TimerService timer) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.ownPlanner = ownPlanner;
        this.timer = timer;
    }

    /**
     * Starts a finder.
     *
     * @param self name of this host
     * @param state what is known, as it changes
     * @param transport calls other hosts
     * @param ownPlanner answers where this host is the planner itself
     * @param timer time
     */
    public static HomeFinder start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner ownPlanner,
            TimerService timer) {
        HomeFinder finder = new HomeFinder(self, state, transport, ownPlanner, timer);
        timer.every(REFRESH, finder::refresh);
        return finder;
    }

    /**
     * The home of an object.
     *
     * @param group the group it belongs to
     * @param key the object's key
     * @return name of its upstream, at once if it is known; empty when the planner can't tell
     */
    public CompletableFuture<Optional<String>> find(ObjectGroup group, long key) {
        Use use = groups.computeIfAbsent(group, g -> new HashMap<>()).computeIfAbsent(key, k -> new Use());
        use.usedNanos = timer.nowNanos();
        Optional<String> known = known(group.service(), key);
        if (known.isPresent() || paused(group.service())) {
            return CompletableFuture.completedFuture(known);
        }
        CompletableFuture<Optional<String>> pending = asking.get(key);
        if (pending != null) {
            return pending;
        }
        CompletableFuture<Optional<String>> asked = ask(group.service(), List.of(routeUse(group, Map.of(key, use))))
                .thenApply(told -> known(group.service(), key));
        if (!asked.isDone()) {
            asking.put(key, asked);
            asked.thenAccept(home -> asking.remove(key));
        }
        return asked;
    }

    /** The home by the plan, else by what was stored, if it may get requests. */
    private Optional<String> known(String service, long key) {
        SteeringState now = state.get();
        KnownHomes plan = plan(service);
        Optional<String> planned = plan.home(key);
        if (planned.isPresent() && now.offers(service, planned.get())) {
            return planned;
        }
        plan.forget(key);
        return Optional.ofNullable(now.homes().getOrDefault(service, Map.of()).get(key))
                .filter(stored -> now.offers(service, stored));
    }

    private KnownHomes plan(String service) {
        return plans.computeIfAbsent(service, name -> KnownHomes.empty());
    }

    /** Notes where an object is served for want of a planner, so that the planner leaves it there. */
    public void servedAt(ObjectGroup group, long key, String upstream) {
        plan(group.service()).fallBack(key, upstream);
    }

    /**
     * Notes the end of a request for an object at an upstream that answered.
     *
     * @param group the group of the object
     * @param key the object's key
     * @param upstream the upstream
     * @param busyNanos time from the sending to the end of the answer
     */
    public void ended(ObjectGroup group, long key, String upstream, long busyNanos) {
        useAt(group, key, upstream).ifPresent(use -> {
            use.requests++;
            use.busyMicros += busyNanos / 1000;
        });
    }

    /** Notes that an object's home did not answer or run a request; the planner learns of it at once. */
    public void failed(ObjectGroup group, long key, String upstream) {
        useAt(group, key, upstream).ifPresent(use -> {
            use.failures++;
            if (!paused(group.service())) {
                ask(group.service(), List.of(routeUse(group, Map.of(key, use))));
            }
        });
    }

    private Optional<Use> useAt(ObjectGroup group, long key, String upstream) {
        return plan(group.service())
                .home(key)
                .filter(upstream::equals)
                .map(home -> groups.getOrDefault(group, Map.of()).get(key));
    }

    private void refresh() {
        long now = timer.nowNanos();
        periods++;
        int hosts = state.get().hosts().size();
        int periodsPerReport = 1 + hosts / REPORTS_PER_PERIOD;
        boolean due = Math.floorMod(periods + self.hashCode(), periodsPerReport) == 0;
        groups.values().forEach(uses -> uses.values().removeIf(use -> now - use.usedNanos > FORGET.toNanos()));
        groups.values().removeIf(Map::isEmpty);
        for (String service : state.get().upstreams().keySet()) {
            meetPlanner(service);
            if (due && !paused(service)) {
                report(service);
            }
        }
    }

    /** Tells the planner what was seen, if anything of the service is in use, and learns what changed. */
    private void report(String service) {
        List<RouteUse> uses = new ArrayList<>();
        boolean used = false;
        for (Map.Entry<ObjectGroup, Map<Long, Use>> group : groups.entrySet()) {
            if (group.getKey().service().equals(service)) {
                used = true;
                Map<Long, Use> seen = new HashMap<>(group.getValue());
                seen.values().removeIf(use -> use.requests + use.failures == 0);
                uses.add(routeUse(group.getKey(), seen));
            }
        }
        if (used) {
            ask(service, uses);
        }
    }

    /** Opens the connection to a service's planner before the first request needs it. */
    private void meetPlanner(String service) {
        String name =
                Planners.of(service, state.get().hosts()).map(HostEntry::name).orElse(self);
        if (!name.equals(planners.put(service, name)) && !name.equals(self)) {
            LOG.info("event=planner_chosen service={} planner={}", service, name);
            ask(service, List.of());
        }
    }

    /** Takes what is to be told of objects, whose counts start anew. */
    private RouteUse routeUse(ObjectGroup group, Map<Long, Use> uses) {
        KnownHomes plan = plan(group.service());
        List<ObjectHome> objects = new ArrayList<>();
        uses.forEach((key, use) -> {
            String home = plan.home(key).orElse("");
            objects.add(new ObjectHome(key, use.requests, use.busyMicros, home, use.failures));
            use.clear();
        });
        return new RouteUse(group.route(), group.region(), objects);
    }

    private CompletableFuture<Void> ask(String service, List<RouteUse> uses) {
        KnownHomes plan = plan(service);
        HomeQuestion question = new HomeQuestion(service, uses, plan.planId(), plan.version());
        Optional<HostEntry> planner = Planners.of(service, state.get().hosts());
        if (planner.isEmpty() || planner.get().name().equals(self)) {
            plan.learn(ownPlanner.answer(question));
            return CompletableFuture.completedFuture(null);
        }
        return transport
                .call(address(planner.get()), ControlMessage.homeQuestion(question), QUESTION_TIMEOUT)
                .thenAccept(answer -> answered(service, planner.get(), answer));
    }

    private void answered(String service, HostEntry planner, Either<Failure, ControlMessage> answer) {
        if (answer.isRight() && answer.get().isSetHomeAnswer()) {
            plan(service).learn(answer.get().getHomeAnswer());
            return;
        }
        if (!paused(service)) {
            LOG.warn(
                    "event=planner_lost service={} planner={} code={}",
                    service,
                    planner.name(),
                    answer.fold(failure -> failure.code().name(), other -> "MESSAGE_UNKNOWN"));
        }
        pausedUntilNanos.put(service, timer.nowNanos() + PLANNER_PAUSE.toNanos());
    }

    private static PeerAddress address(HostEntry host) {
        InetSocketAddress address = Addresses.parse(host.controlAddress()).orElseThrow();
        return new PeerAddress(address.getHostString(), address.getPort());
    }

    private boolean paused(String service) {
        return pausedUntilNanos.containsKey(service) && pausedUntilNanos.get(service) - timer.nowNanos() > 0;
    }

    /** What this host saw of one object since it last told the planner. */
    private static final class Use {
        private int requests;
        private int failures;
        private long busyMicros;
        private long usedNanos;

        private void clear() {
            requests = 0;
            failures = 0;
            busyMicros = 0;
        }
    }
}
