package org.arbutusfield.home;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.LiveUpstream;
import org.arbutusfield.follow.SteeringState;
import org.arbutusfield.route.Route;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.HomeAnswer;
import org.arbutusfield.wire.gen.HomeQuestion;
import org.arbutusfield.wire.gen.ObjectHome;

/**
 * Answers other hosts' questions for the homes of objects, one plan a service. Every host can do it; hosts ask the one
 * that comes first for the service. Runs on one event loop.
 */
public final class HomePlanner {
    private static final Duration CURRENT = Duration.ofSeconds(3);

    private final Supplier<SteeringState> state;
    private final TimerService timer;
    private final Map<String, HomePlan> plans = new HashMap<>();
    private final Map<String, Long> askedNanos = new HashMap<>();

    private HomePlanner(Supplier<SteeringState> state, TimerService timer) {
        this.state = state;
        this.timer = timer;
    }

    /** A planner by the state as it changes. */
    public static HomePlanner create(Supplier<SteeringState> state, TimerService timer) {
        return new HomePlanner(state, timer);
    }

    /** Answers questions that come from other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(ControlMessage._Fields.HOME_QUESTION, message -> {
            HomeAnswer answer = answer(message.getHomeQuestion());
            return CompletableFuture.completedFuture(
                    Either.<Failure, ControlMessage>right(ControlMessage.homeAnswer(answer)));
        });
    }

    /** The homes that this host plans, by service; those of services that no host asks for any more are left out. */
    public Map<String, Map<Long, String>> homes() {
        Map<String, Map<Long, String>> homes = new HashMap<>();
        long nanos = timer.nowNanos();
        plans.forEach((service, plan) -> {
            if (nanos - askedNanos.getOrDefault(service, nanos) < CURRENT.toNanos()) {
                homes.put(service, plan.homes());
            }
        });
        return homes;
    }

    /** Answers one question; objects without a home are left out. */
    HomeAnswer answer(HomeQuestion question) {
        SteeringState now = state.get();
        long nanos = timer.nowNanos();
        HomePlan plan = plans.computeIfAbsent(
                question.getGroup(), service -> HomePlan.after(now.homes().getOrDefault(service, Map.of())));
        askedNanos.put(question.getGroup(), nanos);
        plan.advance(candidates(question.getGroup(), now, Optional.empty(), "", nanos), nanos);
        Optional<Route> route = now.routes().flatMap(table -> table.named(question.getRoute()));
        List<Candidate> candidates = candidates(question.getGroup(), now, route, question.getRegion(), nanos);
        List<ObjectHome> homes = new ArrayList<>();
        for (ObjectHome object : question.getObjects()) {
            ObjectUse use = new ObjectUse(
                    question.getRoute(),
                    object.getKey(),
                    object.getRequests(),
                    object.getFailures(),
                    object.getBusyMicros(),
                    object.getUpstream());
            plan.home(use, candidates, nanos)
                    .ifPresent(home -> homes.add(new ObjectHome(object.getKey(), 0, 0, home.name(), 0)));
        }
        return new HomeAnswer(homes);
    }

    private static List<Candidate> candidates(
            String service, SteeringState now, Optional<Route> route, String region, long nanos) {
        return now.upstreams(service).stream()
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
