package org.arbutusfield.steering;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.affinity.ObjectGroup;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.Placement;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.reach.PeerForwarding;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;

/**
 * Chooses an upstream for each request from the operator's routes, the upstreams' entries in the store and the results
 * of this host's own requests. Runs on one event loop.
 */
public final class SteeringPlacement implements Placement {
    private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofMillis(400);
    private static final String ANY_REGION = "";
    /** An upstream that names next to nothing must still be asked whether that has changed. In requests per second. */
    private static final double MIN_NAMED_RATE = 0.3;
    /** Shared rate of an upstream without a limit, in the record of a choice. */
    private static final double UNLIMITED = 0;
    /** Longer than it takes to open a connection. */
    private static final Duration LATE = Duration.ofMillis(250);

    private final String region;
    private final Supplier<SteeringState> state;
    private final HomeResolver homeResolver;
    private final TimerService timer;
    private final HostRetryBudget retryBudget;
    private final PlacementObserver observer;
    private final PeerForwarding forwarding;
    private final UpstreamRateLimiter rateLimiter;
    private final FleetSize fleetSize;
    private final UpstreamAvailability availability = UpstreamAvailability.create();
    private final UpstreamBackoff backoff = UpstreamBackoff.create();
    private final Map<String, Integer> inFlight = new HashMap<>();

    private SteeringPlacement(
            String self,
            String region,
            Supplier<SteeringState> state,
            HomeResolver homeResolver,
            HostRetryBudget retryBudget,
            PeerForwarding forwarding,
            PlacementObserver observer,
            TimerService timer) {
        this.forwarding = forwarding;
        this.region = region;
        this.state = state;
        this.homeResolver = homeResolver;
        this.retryBudget = retryBudget;
        this.observer = observer;
        this.timer = timer;
        this.fleetSize = retryBudget.fleetSize();
        this.rateLimiter = UpstreamRateLimiter.of(self, fleetSize);
    }

    /**
     * Creates the placement of one host.
     *
     * @param self name of the host
     * @param region region of the host
     * @param state supplies the current state
     * @param homeResolver resolves objects to upstreams
     * @param retryBudget records each request of a caller, and knows the size of the fleet
     * @param forwarding passes requests on through other hosts while this one doesn't reach upstreams
     * @param observer notified of each placement
     * @param timer monotonic clock
     */
    public static SteeringPlacement create(
            String self,
            String region,
            Supplier<SteeringState> state,
            HomeResolver homeResolver,
            HostRetryBudget retryBudget,
            PeerForwarding forwarding,
            PlacementObserver observer,
            TimerService timer) {
        return new SteeringPlacement(self, region, state, homeResolver, retryBudget, forwarding, observer, timer);
    }

    @Override
    public CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest request) {
        if (request.tried().isEmpty() && request.hops() == 0) {
            retryBudget.recordRequest(request.service().name());
        }
        Optional<Either<Failure, PlacementTarget>> forwarded = forwarding.place(request);
        if (forwarded.isPresent()) {
            return CompletableFuture.completedFuture(forwarded.get());
        }
        Optional<ObjectId> object = objectOf(request);
        if (object.isEmpty()) {
            return CompletableFuture.completedFuture(place(request, object, Optional.empty()));
        }
        CompletableFuture<Either<Failure, PlacementTarget>> result = new CompletableFuture<>();
        homeResolver
                .find(object.get().group(), object.get().key())
                .thenAccept(home -> complete(result, place(request, object, home)));
        return result;
    }

    /** Takes a new state into account, and discards what was recorded about upstreams that no longer exist. */
    public void stateChanged(SteeringState next) {
        Set<String> names = new HashSet<>();
        next.upstreams().values().forEach(list -> list.forEach(u -> names.add(u.name())));
        backoff.retainAll(names);
        rateLimiter.discardExpired(timer.nowNanos());
        fleetSize.update();
    }

    /** Returns true if the upstream has said that it is about to stop. */
    public boolean isLeaving(LiveUpstream upstream) {
        return availability.isLeaving(upstream);
    }

    private static void complete(
            CompletableFuture<Either<Failure, PlacementTarget>> result, Either<Failure, PlacementTarget> placed) {
        if (!result.complete(placed) && placed.isRight()) {
            placed.get().permit().release(AttemptOutcome.CANCELLED, 0);
        }
    }

    private Either<Failure, PlacementTarget> place(
            PlacementRequest request, Optional<ObjectId> object, Optional<String> home) {
        SteeringState current = state.get();
        Optional<LiveUpstream> usableHome = home.flatMap(
                        name -> current.upstream(request.service().name(), name))
                .filter(upstream -> eligible(preferredRegion(object), request, upstream, current))
                .filter(upstream -> !backoff.inBackoff(upstream.name(), timer.nowNanos()));
        if (usableHome.isPresent()) {
            return placeAt(request, object, current, usableHome.get(), new Rationale(Choice.Reason.HOME, home, 1));
        }
        List<LiveUpstream> candidates = candidates(request, object, current);
        if (candidates.isEmpty()) {
            return Either.left(
                    Failure.of(ErrorCode.NO_UPSTREAM, request.service().name(), "version " + current.routesVersion())
                            .withRetryAfter(timeUntilUpstreamAccepts(request, current)));
        }
        Optional<LiveUpstream> homeAmongCandidates = home.flatMap(name -> find(name, candidates));
        LiveUpstream chosen = homeAmongCandidates.orElseGet(() -> fallback(object, candidates));
        Rationale rationale = new Rationale(reason(object, homeAmongCandidates), home, candidates.size());
        return placeAt(request, object, current, chosen, rationale);
    }

    /** Returns the time until the first upstream that may serve the request ends its pause, if any is pausing. */
    private Duration timeUntilUpstreamAccepts(PlacementRequest request, SteeringState current) {
        long nanos = timer.nowNanos();
        return current.upstreams(request.service().name()).stream()
                .filter(upstream -> untriedAndInAllowedRegion(request, upstream))
                .flatMap(upstream -> availability.pauseLeft(upstream, nanos).stream())
                .min(Comparator.naturalOrder())
                .orElse(NO_UPSTREAM_RETRY_AFTER);
    }

    private static Choice.Reason reason(Optional<ObjectId> object, Optional<LiveUpstream> usableHome) {
        if (object.isEmpty()) {
            return Choice.Reason.LESS_BUSY;
        }
        return usableHome.isPresent() ? Choice.Reason.HOME : Choice.Reason.HASHED;
    }

    private LiveUpstream fallback(Optional<ObjectId> object, List<LiveUpstream> candidates) {
        return object.flatMap(o -> ObjectAffinity.first(o.key(), candidates))
                .orElseGet(() -> lessLoadedOfTwo(candidates));
    }

    /**
     * Returns the object of a request, if its route has session affinity. Objects with large responses get upstreams in
     * this host's region, if the route allows the region and the region has upstreams.
     */
    private Optional<ObjectId> objectOf(PlacementRequest request) {
        if (request.objectKey().isEmpty()
                || !request.route().map(Route::affinity).orElse(false)) {
            return Optional.empty();
        }
        Route route = request.route().get();
        String service = request.service().name();
        boolean preferOwnRegion = route.largeResponses()
                && route.allows(region)
                && state.get().upstreams(service).stream()
                        .anyMatch(upstream -> upstream.region().equals(region));
        ObjectGroup group = new ObjectGroup(service, route.name(), preferOwnRegion ? region : ANY_REGION);
        long key = ObjectAffinity.keyOf(
                route.name() + group.region(), request.objectKey().get());
        return Optional.of(new ObjectId(group, key));
    }

    /**
     * Returns the upstreams that may serve the request: those in the preferred region of its object, or those of all
     * regions when the preferred region has none.
     */
    private List<LiveUpstream> candidates(PlacementRequest request, Optional<ObjectId> object, SteeringState current) {
        List<LiveUpstream> preferred = candidatesWithin(preferredRegion(object), request, current);
        return preferred.isEmpty() ? candidatesWithin(ANY_REGION, request, current) : preferred;
    }

    /** Returns the eligible upstreams of a region; those in back-off are included only when there are no others. */
    private List<LiveUpstream> candidatesWithin(String regionFilter, PlacementRequest request, SteeringState current) {
        List<LiveUpstream> eligible = new ArrayList<>();
        List<LiveUpstream> notInBackoff = new ArrayList<>();
        long nanos = timer.nowNanos();
        for (LiveUpstream upstream : current.upstreams(request.service().name())) {
            if (!eligible(regionFilter, request, upstream, current)) {
                continue;
            }
            eligible.add(upstream);
            if (!backoff.inBackoff(upstream.name(), nanos)) {
                notInBackoff.add(upstream);
            }
        }
        return notInBackoff.isEmpty() ? eligible : notInBackoff;
    }

    private static String preferredRegion(Optional<ObjectId> object) {
        return object.map(o -> o.group().region()).orElse(ANY_REGION);
    }

    /**
     * Returns true when the upstream is in the region, allowed by the route and not yet tried, accepts requests from
     * this host, and may get a request within the rate that it accepts from all hosts, if that is limited.
     */
    private boolean eligible(
            String regionFilter, PlacementRequest request, LiveUpstream upstream, SteeringState current) {
        long nanos = timer.nowNanos();
        boolean inRegion = regionFilter.equals(ANY_REGION) || upstream.region().equals(regionFilter);
        return inRegion
                && untriedAndInAllowedRegion(request, upstream)
                && availability.accepts(upstream, nanos)
                && withinSharedRate(upstream, current, nanos);
    }

    private static Optional<LiveUpstream> find(String name, List<LiveUpstream> candidates) {
        return candidates.stream()
                .filter(upstream -> upstream.name().equals(name))
                .findFirst();
    }

    private static boolean untriedAndInAllowedRegion(PlacementRequest request, LiveUpstream upstream) {
        return !request.tried().contains(upstream.name())
                && request.route().map(route -> route.allows(upstream.region())).orElse(true);
    }

    private boolean withinSharedRate(LiveUpstream upstream, SteeringState current, long nanos) {
        OptionalDouble rate = sharedRate(upstream, current, nanos);
        return rate.isEmpty() || rateLimiter.allows(upstream, rate.getAsDouble(), nanos);
    }

    /**
     * Returns the requests per second that the upstream accepts from all hosts together; empty if it is not limited.
     */
    private OptionalDouble sharedRate(LiveUpstream upstream, SteeringState current, long nanos) {
        OptionalDouble named = namedRate(upstream, nanos);
        if (!upstream.cold(nanos)) {
            return named;
        }
        double cold = coldRate(upstream, current);
        return OptionalDouble.of(Math.min(cold, named.orElse(cold)));
    }

    /** Returns the rate that the upstream named, unless this host has heard nothing from it for long. */
    private OptionalDouble namedRate(LiveUpstream upstream, long nanos) {
        Optional<UpstreamAvailability.RateLimit> limit = availability.rateLimit(upstream);
        if (limit.isEmpty()) {
            return OptionalDouble.empty();
        }
        double perSecond = Math.max(MIN_NAMED_RATE, limit.get().perSecond());
        boolean expired = nanos - limit.get().heardNanos() > rateLimiter.maxAgeNanos(upstream, perSecond);
        return expired ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
    }

    private static double coldRate(LiveUpstream upstream, SteeringState current) {
        return current.routes()
                .flatMap(table -> table.service(upstream.upstream().service()))
                .map(ServicePolicy::coldRequestsPerSecond)
                .orElse(0.0);
    }

    private LiveUpstream lessLoadedOfTwo(List<LiveUpstream> candidates) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        LiveUpstream first = candidates.get(random.nextInt(candidates.size()));
        LiveUpstream second = candidates.get(random.nextInt(candidates.size()));
        return load(first) <= load(second) ? first : second;
    }

    private double load(LiveUpstream upstream) {
        return (double) inFlight.getOrDefault(upstream.name(), 0)
                / upstream.upstream().slots();
    }

    private Either<Failure, PlacementTarget> placeAt(
            PlacementRequest request,
            Optional<ObjectId> object,
            SteeringState current,
            LiveUpstream upstream,
            Rationale rationale) {
        long nanos = timer.nowNanos();
        OptionalDouble sharedRate = sharedRate(upstream, current, nanos);
        observer.placed(
                request,
                new Choice(
                        upstream.name(),
                        rationale.reason(),
                        rationale.home().orElse("-"),
                        inFlight.getOrDefault(upstream.name(), 0),
                        rationale.considered(),
                        sharedRate.orElse(UNLIMITED),
                        current.hosts().size(),
                        fleetSize.largest(),
                        current.revision().number()));
        if (sharedRate.isPresent()) {
            rateLimiter.recordSent(upstream, nanos);
        }
        String name = upstream.name();
        inFlight.merge(name, 1, Integer::sum);
        object.ifPresent(o -> homeResolver.recordFallback(o.group(), o.key(), name));
        return Either.right(new PlacementTarget.UpstreamTarget(
                upstream.upstream(), new UpstreamPermit(request.requestId(), upstream, object, sharedRate, nanos)));
    }

    private void objectRequestEnded(ObjectId object, String name, AttemptOutcome outcome, long serviceNanos) {
        switch (outcome) {
            case COMPLETED -> homeResolver.recordCompleted(object.group(), object.key(), name, serviceNanos);
            case FAILED -> homeResolver.recordFailure(object.group(), object.key(), name);
            default -> {
                // A shed request is no reason to move the object away from its warm upstream, and a cancelled one says
                // nothing about the upstream.
            }
        }
    }

    private void requestEnded(String name, AttemptOutcome outcome) {
        inFlight.computeIfPresent(name, (key, count) -> count > 1 ? count - 1 : null);
        switch (outcome) {
            case FAILED -> backoff.recordFailure(name, timer.nowNanos());
            case COMPLETED -> backoff.recordSuccess(name);
            default -> {
                // Shed and cancelled requests say nothing about whether the upstream is available.
            }
        }
    }

    /** The permit of one request at an upstream. */
    private final class UpstreamPermit implements Permit {
        private final String requestId;
        private final LiveUpstream upstream;
        private final Optional<ObjectId> object;
        private final OptionalDouble rateWhenPlaced;
        private final long placedNanos;

        private UpstreamPermit(
                String requestId,
                LiveUpstream upstream,
                Optional<ObjectId> object,
                OptionalDouble rateWhenPlaced,
                long placedNanos) {
            this.requestId = requestId;
            this.upstream = upstream;
            this.object = object;
            this.rateWhenPlaced = rateWhenPlaced;
            this.placedNanos = placedNanos;
        }

        @Override
        public void sending() {
            long nanos = timer.nowNanos();
            OptionalDouble rateNow = state.get()
                    .upstream(upstream.upstream().service(), upstream.name())
                    .map(current -> sharedRate(current, state.get(), nanos))
                    .orElse(OptionalDouble.empty());
            Duration sincePlaced = Duration.ofNanos(nanos - placedNanos);
            boolean newlyLimited = rateNow.isPresent() && rateWhenPlaced.isEmpty();
            if (newlyLimited || sincePlaced.compareTo(LATE) > 0) {
                observer.sentLate(new LateSend(
                        requestId,
                        upstream.name(),
                        sincePlaced,
                        rateWhenPlaced.orElse(UNLIMITED),
                        rateNow.orElse(UNLIMITED)));
            }
        }

        @Override
        public void release(AttemptOutcome outcome, long serviceNanos) {
            requestEnded(upstream.name(), outcome);
            object.ifPresent(o -> objectRequestEnded(o, upstream.name(), outcome, serviceNanos));
        }

        @Override
        public void reached() {
            forwarding.reached(upstream.upstream().service());
        }

        @Override
        public void unreachable() {
            forwarding.failed(upstream.upstream().service(), upstream.name());
        }

        @Override
        public void noticed(UpstreamNotice notice) {
            long nanos = timer.nowNanos();
            boolean newlyLimited = notice instanceof UpstreamNotice.RateLimit
                    && availability.rateLimit(upstream).isEmpty();
            availability.record(upstream, notice, nanos);
            if (newlyLimited) {
                // The request that this response belongs to counts as the first one.
                rateLimiter.recordSent(upstream, nanos);
            }
        }
    }

    /**
     * Identifies an object.
     *
     * @param group group of the object
     * @param key key of the object
     */
    private record ObjectId(ObjectGroup group, long key) {}

    /**
     * Why an upstream was chosen.
     *
     * @param reason the reason
     * @param home the object's home, if it is known
     * @param considered number of upstreams that were considered
     */
    private record Rationale(Choice.Reason reason, Optional<String> home, int considered) {}
}
