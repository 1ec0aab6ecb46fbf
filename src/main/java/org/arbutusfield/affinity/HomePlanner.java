package org.arbutusfield.affinity;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.Route;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.HomeQuestion;
import org.arbutusfield.wire.gen.ObjectHome;
import org.arbutusfield.wire.gen.RouteUse;

/**
 * Answers queries for the homes of objects, with one {@link HomePlan} per service. Every host has a planner; for each
 * service all hosts query the one that {@link PlannerSelection} names. Runs on one event loop.
 */
public final class HomePlanner {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);
    /**
     * Maximum number of changes in one response, which keeps it well below the frame size limit; the rest follows in
     * later responses.
     */
    private static final int MAX_CHANGES_PER_RESPONSE = 1000;

    private final Supplier<SteeringState> state;
    private final TimerService timer;
    private final Map<String, HomePlan> plans = new HashMap<>();
    private final FleetLoads loads = FleetLoads.create();
    private final Map<String, Long> planIds = new HashMap<>();
    private final Map<String, Long> lastQueriedNanos = new HashMap<>();

    private HomePlanner(Supplier<SteeringState> state, TimerService timer) {
        this.state = state;
        this.timer = timer;
    }

    /** Creates a planner that reads the current state from the supplier. */
    public static HomePlanner create(Supplier<SteeringState> state, TimerService timer) {
        return new HomePlanner(state, timer);
    }

    /** Registers the handler for queries of other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(ControlMessage._Fields.HOME_QUESTION, message -> {
            HomeAnswer answer = answer(message.getHomeQuestion());
            return CompletableFuture.completedFuture(
                    Either.<Failure, ControlMessage>right(ControlMessage.homeAnswer(answer)));
        });
    }

    /**
     * Returns the homes that this host plans, by service. Services that no host queried during {@code IDLE_TIMEOUT} are
     * left out.
     */
    public Map<String, Map<Long, String>> homes() {
        Map<String, Map<Long, String>> homes = new HashMap<>();
        long nanos = timer.nowNanos();
        plans.forEach((service, plan) -> {
            if (nanos - lastQueriedNanos.getOrDefault(service, nanos) < IDLE_TIMEOUT.toNanos()) {
                homes.put(service, plan.homes());
            }
        });
        return homes;
    }

    /**
     * Answers a query with the homes that changed since the version of the plan that the host has, and with the homes
     * of the objects in the query. Objects without a home are left out.
     */
    HomeAnswer answer(HomeQuestion query) {
        SteeringState current = state.get();
        long nanos = timer.nowNanos();
        String service = query.getServiceName();
        HomePlan plan = plans.computeIfAbsent(
                service, name -> HomePlan.withStoredHomes(current.homes().getOrDefault(name, Map.of())));
        long planId = planIds.computeIfAbsent(
                service, name -> ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
        lastQueriedNanos.put(service, nanos);
        plan.advance(candidates(service, current, Optional.empty(), "", nanos), nanos);
        Map<Long, String> homes = new HashMap<>();
        for (RouteUse routeUse : query.getUses()) {
            homes.putAll(homes(plan, service, routeUse, current, nanos));
        }
        long sinceVersion = query.getPlanId() == planId ? query.getPlanVersion() : 0;
        PlanChanges changes = plan.changesSince(sinceVersion, MAX_CHANGES_PER_RESPONSE);
        homes.putAll(changes.homes());
        List<ObjectHome> objects = new ArrayList<>();
        homes.forEach((key, home) -> objects.add(new ObjectHome(key, 0, 0, home, 0)));
        HomeAnswer answer = new HomeAnswer(objects, planId, changes.version());
        if (query.isSetLoads()) {
            loads.merge(service, query.getLoads(), nanos);
            answer.setLoads(loads.withoutRoom(service, nanos));
        }
        return answer;
    }

    private static Map<Long, String> homes(
            HomePlan plan, String service, RouteUse routeUse, SteeringState current, long nanos) {
        if (routeUse.getObjects().isEmpty()) {
            return Map.of();
        }
        Optional<Route> route = current.routes().flatMap(table -> table.route(routeUse.getRoute()));
        List<Candidate> candidates = candidates(service, current, route, routeUse.getRegion(), nanos);
        List<ObjectReport> reports = new ArrayList<>();
        for (ObjectHome object : routeUse.getObjects()) {
            reports.add(new ObjectReport(
                    routeUse.getRoute(),
                    object.getKey(),
                    object.getRequests(),
                    object.getFailures(),
                    object.getBusyMicros(),
                    object.getUpstream()));
        }
        return plan.assignHomes(reports, candidates, nanos);
    }

    private static List<Candidate> candidates(
            String service, SteeringState current, Optional<Route> route, String region, long nanos) {
        return current.upstreams(service).stream()
                .filter(u -> !u.cold(nanos))
                .filter(u -> region.isEmpty() || u.region().equals(region))
                .filter(u -> route.map(r -> r.allows(u.region())).orElse(true))
                .map(HomePlanner::candidate)
                .toList();
    }

    private static Candidate candidate(LiveUpstream upstream) {
        return new Candidate(upstream.name(), upstream.upstream().slots(), upstream.nameHash());
    }
}
