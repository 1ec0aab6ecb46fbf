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

    private final Supplier<SteeringState> state;
    private final TimerService timer;
    private final RetryShare retries;
    private final ColdShare cold;
    private final Suspicions suspicions = Suspicions.create();
    private final Map<String, Integer> inFlight = new HashMap<>();

    private SteeringPlacement(String self, Supplier<SteeringState> state, RetryShare retries, TimerService timer) {
        this.state = state;
        this.retries = retries;
        this.timer = timer;
        this.cold = ColdShare.of(self);
    }

    /**
     * A placement for one host.
     *
     * @param self name of the host
     * @param state what is known, as it changes
     * @param retries told of each caller's request
     * @param timer monotonic time
     */
    public static SteeringPlacement create(
            String self, Supplier<SteeringState> state, RetryShare retries, TimerService timer) {
        return new SteeringPlacement(self, state, retries, timer);
    }

    @Override
    public CompletableFuture<Either<Failure, Placed>> place(RequestFacts facts) {
        if (facts.tried().isEmpty()) {
            retries.requested(facts.service().name());
        }
        SteeringState now = state.get();
        Optional<LiveUpstream> chosen = choose(facts, now);
        return CompletableFuture.completedFuture(chosen.map(upstream -> placed(upstream, now))
                .orElseGet(() -> Either.left(
                        Failure.of(ErrorCode.NO_UPSTREAM, facts.service().name(), "version " + now.version())
                                .withRetryAfter(NO_UPSTREAM_WAIT))));
    }

    /** Forgets what concerns upstreams that are no more. */
    public void stateChanged(SteeringState next) {
        Set<String> names = new HashSet<>();
        next.upstreams().values().forEach(list -> list.forEach(u -> names.add(u.name())));
        suspicions.retain(names);
        cold.retain(names);
    }

    private Optional<LiveUpstream> choose(RequestFacts facts, SteeringState now) {
        List<LiveUpstream> allowed = new ArrayList<>();
        List<LiveUpstream> trusted = new ArrayList<>();
        long nanos = timer.nowNanos();
        for (LiveUpstream upstream : now.upstreams(facts.service().name())) {
            if (!mayServe(facts, upstream) || !warmEnough(upstream, now, nanos)) {
                continue;
            }
            allowed.add(upstream);
            if (!suspicions.suspected(upstream.name(), nanos)) {
                trusted.add(upstream);
            }
        }
        List<LiveUpstream> candidates = trusted.isEmpty() ? allowed : trusted;
        Optional<String> object = facts.objectKey().filter(key -> hasAffinity(facts));
        if (object.isPresent()) {
            return ObjectAffinity.first(
                    ObjectAffinity.keyOf(facts.requestClass().name(), object.get()), candidates);
        }
        return lessBusyOfTwo(candidates);
    }

    private static boolean hasAffinity(RequestFacts facts) {
        return facts.route().map(Route::affinity).orElse(false);
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

    private Optional<LiveUpstream> lessBusyOfTwo(List<LiveUpstream> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        LiveUpstream one = candidates.get(random.nextInt(candidates.size()));
        LiveUpstream other = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(load(one) <= load(other) ? one : other);
    }

    private double load(LiveUpstream upstream) {
        return (double) inFlight.getOrDefault(upstream.name(), 0)
                / upstream.upstream().slots();
    }

    private Either<Failure, Placed> placed(LiveUpstream upstream, SteeringState now) {
        long nanos = timer.nowNanos();
        if (upstream.cold(nanos)) {
            cold.sent(upstream, coldRate(upstream, now), now.hosts(), nanos);
        }
        String name = upstream.name();
        inFlight.merge(name, 1, Integer::sum);
        Permit permit = (outcome, serviceNanos) -> ended(name, outcome);
        return Either.right(new Placed.AtUpstream(upstream.upstream(), permit));
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
}
