package org.arbutusfield.affinity;

import io.vavr.control.Either;
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
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.HomeQuestion;
import org.arbutusfield.wire.gen.ObjectHome;
import org.arbutusfield.wire.gen.RouteUse;
import org.arbutusfield.wire.gen.UpstreamLoad;

/**
 * Resolves the homes of the objects that this host serves. The home of an object is the upstream that its requests are
 * sent to.
 *
 * <p>Problem: with many hosts, almost every request concerns an object that is new to the host that serves it. One
 * query to the planner per new object would cost about as many messages as there are requests.
 *
 * <p>Idea: each response of the planner carries all homes that changed since the version of the plan that the host has
 * cached. A host queries the planner when an object is new to it, and periodically reports its request counts. Either
 * message brings its copy of the whole plan up to date.
 *
 * <p>When a query fails, this host stops querying that service's planner for {@code PLANNER_BACKOFF}; meanwhile the
 * caller of this class falls back on hashing. Runs on one event loop.
 */
public final class HomeResolver {
    private static final Logger LOG = LogManager.getLogger(HomeResolver.class);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);
    /** Number of hosts that report to one planner in each period; with more hosts, each one reports less often. */
    private static final int REPORTS_PER_PERIOD = 150;

    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(150);
    private static final Duration PLANNER_BACKOFF = Duration.ofSeconds(1);
    private static final Duration UNUSED_EXPIRY = Duration.ofSeconds(10);

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final HomePlanner localPlanner;
    private final LoadExchange loads;
    private final TimerService timer;
    private final Map<ObjectGroup, Map<Long, ObjectCounters>> countersByGroup = new HashMap<>();
    private final Map<String, CachedPlan> cachedPlans = new HashMap<>();
    private final Map<Long, CompletableFuture<Optional<String>>> pendingQueries = new HashMap<>();
    private final Map<String, String> plannersByService = new HashMap<>();
    private final Map<String, Long> backoffEndNanos = new HashMap<>();
    private int refreshCount;

    private HomeResolver(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner localPlanner,
            LoadExchange loads,
            TimerService timer) {
        this.loads = loads;
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.localPlanner = localPlanner;
        this.timer = timer;
    }

    /**
     * Starts a resolver.
     *
     * @param self name of this host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     * @param localPlanner answers the queries when this host is itself the planner
     * @param timer clock and scheduler
     */
    public static HomeResolver start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner localPlanner,
            TimerService timer) {
        return start(self, state, transport, localPlanner, LoadExchange.NONE, timer);
    }

    /** Starts a resolver that passes the loads of upstreams on with its reports; see the other method. */
    public static HomeResolver start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner localPlanner,
            LoadExchange loads,
            TimerService timer) {
        HomeResolver resolver = new HomeResolver(self, state, transport, localPlanner, loads, timer);
        timer.every(REFRESH_PERIOD, resolver::refresh);
        return resolver;
    }

    /**
     * Returns the home of an object.
     *
     * @param group the group of the object
     * @param key the object's key
     * @return name of the home, already completed if it is known; empty when the planner has none or can't be reached
     */
    public CompletableFuture<Optional<String>> find(ObjectGroup group, long key) {
        ObjectCounters counters = countersByGroup
                .computeIfAbsent(group, g -> new HashMap<>())
                .computeIfAbsent(key, k -> new ObjectCounters());
        counters.lastUsedNanos = timer.nowNanos();
        Optional<String> usableHome = usableHome(group.service(), key);
        if (usableHome.isPresent() || inBackoff(group.service())) {
            return CompletableFuture.completedFuture(usableHome);
        }
        CompletableFuture<Optional<String>> pending = pendingQueries.get(key);
        if (pending != null) {
            return pending;
        }
        CompletableFuture<Optional<String>> result = queryPlanner(
                        group.service(), List.of(takeRouteUse(group, Map.of(key, counters))))
                .thenApply(done -> usableHome(group.service(), key));
        if (!result.isDone()) {
            pendingQueries.put(key, result);
            result.whenComplete((home, error) -> pendingQueries.remove(key));
        }
        return result;
    }

    /** Returns the home in the cached plan, else the home in the store, if that upstream may get requests. */
    private Optional<String> usableHome(String service, long key) {
        SteeringState current = state.get();
        CachedPlan plan = cachedPlan(service);
        Optional<String> planned = plan.home(key);
        if (planned.isPresent() && current.hasUpstream(service, planned.get())) {
            return planned;
        }
        plan.remove(key);
        return Optional.ofNullable(
                        current.homes().getOrDefault(service, Map.of()).get(key))
                .filter(stored -> current.hasUpstream(service, stored));
    }

    private CachedPlan cachedPlan(String service) {
        return cachedPlans.computeIfAbsent(service, name -> CachedPlan.empty());
    }

    /**
     * Records the upstream that serves an object whose home is unknown. The upstream is included in the next report, so
     * that the planner adopts it as the home.
     */
    public void recordFallback(ObjectGroup group, long key, String upstream) {
        cachedPlan(group.service()).addFallback(key, upstream);
    }

    /**
     * Records that an upstream completed a request for an object. Ignored unless the upstream is the object's home.
     *
     * @param group the group of the object
     * @param key the object's key
     * @param upstream name of the upstream
     * @param busyNanos time from sending the request to the end of the response
     */
    public void recordCompleted(ObjectGroup group, long key, String upstream, long busyNanos) {
        countersAtHome(group, key, upstream).ifPresent(counters -> {
            counters.requests++;
            counters.busyMicros += busyNanos / 1000;
        });
    }

    /**
     * Records that a request for an object failed at an upstream, and reports it to the planner at once. Ignored unless
     * the upstream is the object's home.
     */
    public void recordFailure(ObjectGroup group, long key, String upstream) {
        countersAtHome(group, key, upstream).ifPresent(counters -> {
            counters.failures++;
            if (!inBackoff(group.service())) {
                queryPlanner(group.service(), List.of(takeRouteUse(group, Map.of(key, counters))));
            }
        });
    }

    private Optional<ObjectCounters> countersAtHome(ObjectGroup group, long key, String upstream) {
        return cachedPlan(group.service())
                .home(key)
                .filter(upstream::equals)
                .map(home -> countersByGroup.getOrDefault(group, Map.of()).get(key));
    }

    private void refresh() {
        long now = timer.nowNanos();
        refreshCount++;
        int hosts = state.get().hosts().size();
        int refreshesPerReport = 1 + hosts / REPORTS_PER_PERIOD;
        boolean due = Math.floorMod(refreshCount + self.hashCode(), refreshesPerReport) == 0;
        countersByGroup
                .values()
                .forEach(countersByKey -> countersByKey
                        .values()
                        .removeIf(counters -> now - counters.lastUsedNanos > UNUSED_EXPIRY.toNanos()));
        countersByGroup.values().removeIf(Map::isEmpty);
        for (String service : state.get().upstreams().keySet()) {
            connectToPlanner(service);
            if (due && !inBackoff(service)) {
                report(service);
            }
        }
    }

    /**
     * Sends the counters of a service's objects to the planner, if any are in use, and receives the homes that changed.
     */
    private void report(String service) {
        List<RouteUse> routeUses = new ArrayList<>();
        boolean used = false;
        for (Map.Entry<ObjectGroup, Map<Long, ObjectCounters>> group : countersByGroup.entrySet()) {
            if (group.getKey().service().equals(service)) {
                used = true;
                Map<Long, ObjectCounters> reported = new HashMap<>(group.getValue());
                reported.values().removeIf(counters -> counters.requests + counters.failures == 0);
                routeUses.add(takeRouteUse(group.getKey(), reported));
            }
        }
        if (used) {
            queryPlanner(service, routeUses, Optional.of(loads.report(service, timer.nowNanos())));
        }
    }

    /** Opens the connection to a service's planner before the first request needs it. */
    private void connectToPlanner(String service) {
        String name = PlannerSelection.plannerOf(service, state.get().hosts())
                .map(HostEntry::name)
                .orElse(self);
        if (!name.equals(plannersByService.put(service, name)) && !name.equals(self)) {
            LOG.info("event=planner_chosen service={} planner={}", service, name);
            queryPlanner(service, List.of());
        }
    }

    /** Builds the report on some objects of a group and resets their counters. */
    private RouteUse takeRouteUse(ObjectGroup group, Map<Long, ObjectCounters> countersByKey) {
        CachedPlan plan = cachedPlan(group.service());
        List<ObjectHome> objects = new ArrayList<>();
        countersByKey.forEach((key, counters) -> {
            String home = plan.home(key).orElse("");
            objects.add(new ObjectHome(key, counters.requests, counters.busyMicros, home, counters.failures));
            counters.clear();
        });
        return new RouteUse(group.route(), group.region(), objects);
    }

    private CompletableFuture<Void> queryPlanner(String service, List<RouteUse> routeUses) {
        return queryPlanner(service, routeUses, Optional.empty());
    }

    private CompletableFuture<Void> queryPlanner(
            String service, List<RouteUse> routeUses, Optional<List<UpstreamLoad>> reported) {
        CachedPlan plan = cachedPlan(service);
        HomeQuestion query = new HomeQuestion(service, routeUses, plan.planId(), plan.version());
        reported.ifPresent(query::setLoads);
        Optional<HostEntry> planner =
                PlannerSelection.plannerOf(service, state.get().hosts());
        if (planner.isEmpty() || planner.get().name().equals(self)) {
            apply(service, localPlanner.answer(query));
            return CompletableFuture.completedFuture(null);
        }
        return transport
                .call(
                        PeerAddress.parse(planner.get().controlAddress()),
                        ControlMessage.homeQuestion(query),
                        QUERY_TIMEOUT)
                .thenAccept(response -> onResponse(service, planner.get(), response));
    }

    private void apply(String service, HomeAnswer answer) {
        cachedPlan(service).apply(answer);
        if (answer.isSetLoads()) {
            loads.heard(answer.getLoads(), timer.nowNanos());
        }
    }

    private void onResponse(String service, HostEntry planner, Either<Failure, ControlMessage> response) {
        if (response.isRight() && response.get().isSetHomeAnswer()) {
            apply(service, response.get().getHomeAnswer());
            return;
        }
        if (!inBackoff(service)) {
            LOG.warn(
                    "event=planner_lost service={} planner={} code={}",
                    service,
                    planner.name(),
                    response.fold(failure -> failure.code().name(), other -> "MESSAGE_UNKNOWN"));
        }
        backoffEndNanos.put(service, timer.nowNanos() + PLANNER_BACKOFF.toNanos());
    }

    private boolean inBackoff(String service) {
        return backoffEndNanos.containsKey(service) && backoffEndNanos.get(service) - timer.nowNanos() > 0;
    }

    /** What this host observed of one object since its last report. */
    private static final class ObjectCounters {
        private int requests;
        private int failures;
        private long busyMicros;
        private long lastUsedNanos;

        private void clear() {
            requests = 0;
            failures = 0;
            busyMicros = 0;
        }
    }
}
