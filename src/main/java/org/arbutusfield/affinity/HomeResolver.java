package org.arbutusfield.affinity;

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
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.SteeringState;
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
public final class HomeResolver {
    private static final Logger LOG = LogManager.getLogger(HomeResolver.class);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);
    /** Hosts that report to one planner each period; with more hosts each one reports less often. */
    private static final int REPORTS_PER_PERIOD = 150;

    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(150);
    private static final Duration PLANNER_BACKOFF = Duration.ofSeconds(1);
    private static final Duration UNUSED_EXPIRY = Duration.ofSeconds(10);

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final HomePlanner localPlanner;
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
            TimerService timer) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.localPlanner = localPlanner;
        this.timer = timer;
    }

    /**
     * Starts a finder.
     *
     * @param self name of this host
     * @param state what is known, as it changes
     * @param transport calls other hosts
     * @param localPlanner answers where this host is the planner itself
     * @param timer time
     */
    public static HomeResolver start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            HomePlanner localPlanner,
            TimerService timer) {
        HomeResolver resolver = new HomeResolver(self, state, transport, localPlanner, timer);
        timer.every(REFRESH_PERIOD, resolver::refresh);
        return resolver;
    }

    /**
     * The home of an object.
     *
     * @param group the group it belongs to
     * @param key the object's key
     * @return name of its upstream, at once if it is known; empty when the planner can't tell
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
        CompletableFuture<Optional<String>> answer = queryPlanner(
                        group.service(), List.of(takeRouteUse(group, Map.of(key, counters))))
                .thenApply(done -> usableHome(group.service(), key));
        if (!answer.isDone()) {
            pendingQueries.put(key, answer);
            answer.thenAccept(home -> pendingQueries.remove(key));
        }
        return answer;
    }

    /** The home by the plan, else by what was stored, if it may get requests. */
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

    /** Notes where an object is served for want of a planner, so that the planner leaves it there. */
    public void recordFallback(ObjectGroup group, long key, String upstream) {
        cachedPlan(group.service()).addFallback(key, upstream);
    }

    /**
     * Notes the end of a request for an object at an upstream that answered.
     *
     * @param group the group of the object
     * @param key the object's key
     * @param upstream the upstream
     * @param busyNanos time from the sending to the end of the answer
     */
    public void recordCompleted(ObjectGroup group, long key, String upstream, long busyNanos) {
        countersAtHome(group, key, upstream).ifPresent(counters -> {
            counters.requests++;
            counters.busyMicros += busyNanos / 1000;
        });
    }

    /** Notes that an object's home did not answer or run a request; the planner learns of it at once. */
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

    /** Tells the planner what was seen, if anything of the service is in use, and learns what changed. */
    private void report(String service) {
        List<RouteUse> countersByKey = new ArrayList<>();
        boolean used = false;
        for (Map.Entry<ObjectGroup, Map<Long, ObjectCounters>> group : countersByGroup.entrySet()) {
            if (group.getKey().service().equals(service)) {
                used = true;
                Map<Long, ObjectCounters> reported = new HashMap<>(group.getValue());
                reported.values().removeIf(counters -> counters.requests + counters.failures == 0);
                countersByKey.add(takeRouteUse(group.getKey(), reported));
            }
        }
        if (used) {
            queryPlanner(service, countersByKey);
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

    /** Takes what is to be told of objects, whose counts start anew. */
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

    private CompletableFuture<Void> queryPlanner(String service, List<RouteUse> countersByKey) {
        CachedPlan plan = cachedPlan(service);
        HomeQuestion query = new HomeQuestion(service, countersByKey, plan.planId(), plan.version());
        Optional<HostEntry> planner =
                PlannerSelection.plannerOf(service, state.get().hosts());
        if (planner.isEmpty() || planner.get().name().equals(self)) {
            plan.apply(localPlanner.answer(query));
            return CompletableFuture.completedFuture(null);
        }
        return transport
                .call(address(planner.get()), ControlMessage.homeQuestion(query), QUERY_TIMEOUT)
                .thenAccept(answer -> onAnswer(service, planner.get(), answer));
    }

    private void onAnswer(String service, HostEntry planner, Either<Failure, ControlMessage> answer) {
        if (answer.isRight() && answer.get().isSetHomeAnswer()) {
            cachedPlan(service).apply(answer.get().getHomeAnswer());
            return;
        }
        if (!inBackoff(service)) {
            LOG.warn(
                    "event=planner_lost service={} planner={} code={}",
                    service,
                    planner.name(),
                    answer.fold(failure -> failure.code().name(), other -> "MESSAGE_UNKNOWN"));
        }
        backoffEndNanos.put(service, timer.nowNanos() + PLANNER_BACKOFF.toNanos());
    }

    private static PeerAddress address(HostEntry host) {
        InetSocketAddress address = Addresses.parse(host.controlAddress()).orElseThrow();
        return new PeerAddress(address.getHostString(), address.getPort());
    }

    private boolean inBackoff(String service) {
        return backoffEndNanos.containsKey(service) && backoffEndNanos.get(service) - timer.nowNanos() > 0;
    }

    /** What this host saw of one object since it last told the planner. */
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
