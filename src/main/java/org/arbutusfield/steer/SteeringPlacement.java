package org.arbutusfield.steer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.LiveUpstream;
import org.arbutusfield.follow.SteeringState;
import org.arbutusfield.home.HomeFinder;
import org.arbutusfield.home.ObjectGroup;
import org.arbutusfield.proxy.Outcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.Placed;
import org.arbutusfield.proxy.Placement;
import org.arbutusfield.proxy.RequestFacts;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.timer.TimerService;

/**
 * Places each request on an upstream by what this host knows: the operator's routes, the upstreams' entries, and how
 * its own requests fared. Runs on one event loop.
 */
public final class SteeringPlacement implements Placement {
    private static final Duration NO_UPSTREAM_WAIT = Duration.ofMillis(400);
    private static final String EVERYWHERE = "";

    private final String region;
    private final Supplier<SteeringState> state;
    private final HomeFinder homes;
    private final TimerService timer;
    private final RetryShare retries;
    private final PlacementObserver observer;
    private final ColdShare cold;
    private final Suspicions suspicions = Suspicions.create();
    private final Map<String, Integer> inFlight = new HashMap<>();

    private SteeringPlacement(
            String self,
            String region,
            Supplier<SteeringState> state,
            HomeFinder homes,
            RetryShare retries,
            PlacementObserver observer,
            TimerService timer) {
        this.region = region;
        this.state = state;
        this.homes = homes;
        this.retries = retries;
        this.observer = observer;
        this.timer = timer;
        this.cold = ColdShare.of(self);
    }

    /**
     * A placement for one host.
     *
     * @param self name of the host
     * @param region region of the host
     * @param state what is known, as it changes
     * @param homes knows which upstream serves an object
     * @param retries told of each caller's request
     * @param observer learns where requests are placed
     * @param timer monotonic time
     */
    public static SteeringPlacement create(
            String self,
            String region,
            Supplier<SteeringState> state,
            HomeFinder homes,
            RetryShare retries,
            PlacementObserver observer,
            TimerService timer) {
        return new SteeringPlacement(self, region, state, homes, retries, observer, timer);
    }

    @Override
    public CompletableFuture<Either<Failure, Placed>> place(RequestFacts facts) {
        if (facts.tried().isEmpty()) {
            retries.requested(facts.service().name());
        }
        Optional<ObjectInGroup> object = objectOf(facts);
        if (object.isEmpty()) {
            return CompletableFuture.completedFuture(place(facts, object, Optional.empty()));
        }
        CompletableFuture<Either<Failure, Placed>> result = new CompletableFuture<>();
        homes.find(object.get().group(), object.get().key())
                .thenAccept(home -> complete(result, place(facts, object, home)));
        return result;
    }

    /** Forgets what concerns upstreams that are no more. */
    public void stateChanged(SteeringState next) {
        Set<String> names = new HashSet<>();
        next.upstreams().values().forEach(list -> list.forEach(u -> names.add(u.name())));
        suspicions.retain(names);
        cold.retain(names);
    }

    private static void complete(CompletableFuture<Either<Failure, Placed>> result, Either<Failure, Placed> placed) {
        if (!result.complete(placed) && placed.isRight()) {
            placed.get().permit().release(Outcome.CANCELLED, 0);
        }
    }

    private Either<Failure, Placed> place(RequestFacts facts, Optional<ObjectInGroup> object, Optional<String> home) {
        SteeringState now = state.get();
        Optional<LiveUpstream> atHome = home.flatMap(
                        name -> now.upstream(facts.service().name(), name))
                .filter(upstream -> allowed(regionOf(object), facts, upstream, now))
                .filter(upstream -> !suspicions.suspected(upstream.name(), timer.nowNanos()));
        if (atHome.isPresent()) {
            return placed(facts, object, now, atHome.get(), new Decision(Choice.Reason.HOME, home, 1));
        }
        List<LiveUpstream> candidates = candidates(facts, object, now);
        if (candidates.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.NO_UPSTREAM, facts.service().name(), "version " + now.version())
                    .withRetryAfter(NO_UPSTREAM_WAIT));
        }
        Optional<LiveUpstream> lastResort = home.flatMap(name -> named(name, candidates));
        LiveUpstream chosen = lastResort.orElseGet(() -> fallback(object, candidates));
        Decision decision = new Decision(reason(object, lastResort), home, candidates.size());
        return placed(facts, object, now, chosen, decision);
    }

    private static Choice.Reason reason(Optional<ObjectInGroup> object, Optional<LiveUpstream> atHome) {
        if (object.isEmpty()) {
            return Choice.Reason.LESS_BUSY;
        }
        return atHome.isPresent() ? Choice.Reason.HOME : Choice.Reason.HASHED;
    }

    private LiveUpstream fallback(Optional<ObjectInGroup> object, List<LiveUpstream> candidates) {
        return object.flatMap(o -> ObjectAffinity.first(o.key(), candidates))
                .orElseGet(() -> lessBusyOfTwo(candidates));
    }

    /** The object of a request on a route where upstreams remember objects. Large answers are served near. */
    private Optional<ObjectInGroup> objectOf(RequestFacts facts) {
        if (facts.objectKey().isEmpty() || !facts.route().map(Route::affinity).orElse(false)) {
            return Optional.empty();
        }
        Route route = facts.route().get();
        String service = facts.service().name();
        boolean near = route.largeAnswers()
                && route.allows(region)
                && state.get().upstreams(service).stream()
                        .anyMatch(upstream -> upstream.region().equals(region));
        ObjectGroup group = new ObjectGroup(service, route.name(), near ? region : EVERYWHERE);
        long key = ObjectAffinity.keyOf(
                route.name() + group.region(), facts.objectKey().get());
        return Optional.of(new ObjectInGroup(group, key));
    }

    /** The upstreams that may serve the request: those near its object, or all when none of them can. */
    private List<LiveUpstream> candidates(RequestFacts facts, Optional<ObjectInGroup> object, SteeringState now) {
        List<LiveUpstream> near = candidatesWithin(regionOf(object), facts, now);
        return near.isEmpty() ? candidatesWithin(EVERYWHERE, facts, now) : near;
    }

    /** Upstreams in a region; those that failed this host lately only if there are no others. */
    private List<LiveUpstream> candidatesWithin(String within, RequestFacts facts, SteeringState now) {
        List<LiveUpstream> allowed = new ArrayList<>();
        List<LiveUpstream> trusted = new ArrayList<>();
        long nanos = timer.nowNanos();
        for (LiveUpstream upstream : now.upstreams(facts.service().name())) {
            if (!allowed(within, facts, upstream, now)) {
                continue;
            }
            allowed.add(upstream);
            if (!suspicions.suspected(upstream.name(), nanos)) {
                trusted.add(upstream);
            }
        }
        return trusted.isEmpty() ? allowed : trusted;
    }

    private static String regionOf(Optional<ObjectInGroup> object) {
        return object.map(o -> o.group().region()).orElse(EVERYWHERE);
    }

    /** True when region, route and warmth let the upstream serve the request, and it was not tried before. */
    private boolean allowed(String within, RequestFacts facts, LiveUpstream upstream, SteeringState now) {
        boolean near = within.equals(EVERYWHERE) || upstream.region().equals(within);
        return near && mayServe(facts, upstream) && warmEnough(upstream, now, timer.nowNanos());
    }

    private static Optional<LiveUpstream> named(String name, List<LiveUpstream> candidates) {
        return candidates.stream()
                .filter(upstream -> upstream.name().equals(name))
                .findFirst();
    }

    private static boolean mayServe(RequestFacts facts, LiveUpstream upstream) {
        return !facts.tried().contains(upstream.name())
                && facts.route().map(route -> route.allows(upstream.region())).orElse(true);
    }

    private boolean warmEnough(LiveUpstream upstream, SteeringState now, long nanos) {
        return !upstream.cold(nanos) || cold.allows(upstream, coldRate(upstream, now), now.hosts(), nanos);
    }

    private static double coldRate(LiveUpstream upstream, SteeringState now) {
        return now.routes()
                .flatMap(table -> table.service(upstream.upstream().service()))
                .map(ServicePolicy::coldPerSecond)
                .orElse(0.0);
    }

    private LiveUpstream lessBusyOfTwo(List<LiveUpstream> candidates) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        LiveUpstream one = candidates.get(random.nextInt(candidates.size()));
        LiveUpstream other = candidates.get(random.nextInt(candidates.size()));
        return load(one) <= load(other) ? one : other;
    }

    private double load(LiveUpstream upstream) {
        return (double) inFlight.getOrDefault(upstream.name(), 0)
                / upstream.upstream().slots();
    }

    private Either<Failure, Placed> placed(
            RequestFacts facts,
            Optional<ObjectInGroup> object,
            SteeringState now,
            LiveUpstream upstream,
            Decision decision) {
        observer.placed(
                facts,
                new Choice(
                        upstream.name(),
                        decision.reason(),
                        decision.home().orElse("-"),
                        inFlight.getOrDefault(upstream.name(), 0),
                        decision.considered(),
                        now.revision()));
        long nanos = timer.nowNanos();
        if (upstream.cold(nanos)) {
            cold.sent(upstream, coldRate(upstream, now), now.hosts(), nanos);
        }
        String name = upstream.name();
        inFlight.merge(name, 1, Integer::sum);
        object.ifPresent(o -> homes.servedAt(o.group(), o.key(), name));
        Permit permit = (outcome, serviceNanos) -> {
            ended(name, outcome);
            object.ifPresent(o -> objectEnded(o, name, outcome, serviceNanos));
        };
        return Either.right(new Placed.AtUpstream(upstream.upstream(), permit));
    }

    private void objectEnded(ObjectInGroup object, String name, Outcome outcome, long serviceNanos) {
        switch (outcome) {
            case COMPLETED -> homes.ended(object.group(), object.key(), name, serviceNanos);
            case FAILED -> homes.failed(object.group(), object.key(), name);
            default -> {
                // A full upstream is no reason to lose what it remembers; a cancelled request says nothing.
            }
        }
    }

    private void ended(String name, Outcome outcome) {
        inFlight.computeIfPresent(name, (key, count) -> count > 1 ? count - 1 : null);
        switch (outcome) {
            case FAILED -> suspicions.failed(name, timer.nowNanos());
            case COMPLETED -> suspicions.answered(name);
            default -> {
                // Shed and cancelled requests say nothing about whether the upstream is alive.
            }
        }
    }

    /**
     * An object.
     *
     * @param group the group it belongs to
     * @param key its key
     */
    private record ObjectInGroup(ObjectGroup group, long key) {}

    /**
     * Why an upstream was chosen.
     *
     * @param reason the reason
     * @param home the object's home, if it is known
     * @param considered upstreams that were considered
     */
    private record Decision(Choice.Reason reason, Optional<String> home, int considered) {}
}
