package org.arbutusfield.steering;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.affinity.ObjectGroup;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.Permit;
import org.arbutusfield.proxy.Placement;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.quota.QuotaGrant;
import org.arbutusfield.quota.UpstreamQuota;
import org.arbutusfield.reach.PeerForwarding;
import org.arbutusfield.route.Route;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.timer.TimerService;

/**
 * Chooses an upstream for each request from the operator's routes, the upstreams' entries in the store and the results
 * of this host's own requests. Runs on one event loop.
 */
public final class SteeringPlacement implements Placement {
    /** Shared rate of an upstream without a limit, in the record of a choice. */
    private static final double UNLIMITED = 0;
    /** Questions for permissions that one placement may wait for before it leaves limited upstreams out. */
    private static final int MAX_QUESTIONS = 2;

    private final String region;
    private final Supplier<SteeringState> state;
    private final HomeResolver homeResolver;
    private final TimerService timer;
    private final HostRetryBudget retryBudget;
    private final PlacementObserver observer;
    private final PeerForwarding forwarding;
    private final UpstreamQuota quota;
    private final FleetSize fleetSize;
    private final UpstreamAvailability availability = UpstreamAvailability.create();
    private final UpstreamBackoff backoff = UpstreamBackoff.create();
    private final UpstreamSelector selector = UpstreamSelector.of(availability, backoff, this::load);
    private final SharedRates sharedRates;
    private final LoadPlacement loads;
    private final Map<String, Integer> inFlight = new HashMap<>();

    private SteeringPlacement(
            String region,
            Supplier<SteeringState> state,
            HomeResolver homeResolver,
            SharedLimits limits,
            PeerForwarding forwarding,
            PlacementObserver observer,
            LoadPlacement loads,
            TimerService timer) {
        this.loads = loads;
        this.forwarding = forwarding;
        this.region = region;
        this.state = state;
        this.homeResolver = homeResolver;
        this.retryBudget = limits.retryBudget();
        this.quota = limits.quota();
        this.observer = observer;
        this.timer = timer;
        this.fleetSize = retryBudget.fleetSize();
        this.sharedRates = SharedRates.of(quota);
    }

    /**
     * Creates the placement of one host.
     *
     * @param region region of the host
     * @param state supplies the current state
     * @param homeResolver resolves objects to upstreams
     * @param limits limits on all hosts together
     * @param forwarding passes requests on through other hosts while this one doesn't reach upstreams
     * @param observer notified of each placement
     * @param timer monotonic clock
     */
    public static SteeringPlacement create(
            String region,
            Supplier<SteeringState> state,
            HomeResolver homeResolver,
            SharedLimits limits,
            PeerForwarding forwarding,
            PlacementObserver observer,
            TimerService timer) {
        LoadPlacement loads = LoadPlacement.create(UpstreamLoadKnowledge.create(), () -> false, observer);
        return create(region, state, homeResolver, limits, forwarding, observer, loads, timer);
    }

    /** Creates the placement of one host, which reviews by load where requests are sent; see the other method. */
    public static SteeringPlacement create(
            String region,
            Supplier<SteeringState> state,
            HomeResolver homeResolver,
            SharedLimits limits,
            PeerForwarding forwarding,
            PlacementObserver observer,
            LoadPlacement loads,
            TimerService timer) {
        return new SteeringPlacement(region, state, homeResolver, limits, forwarding, observer, loads, timer);
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
        CompletableFuture<Either<Failure, PlacementTarget>> result = new CompletableFuture<>();
        homeOf(object)
                .thenCompose(home -> place(request, object, home, MAX_QUESTIONS))
                // Otherwise the request would wait for a placement until its deadline.
                .whenComplete(Handled.by(placed -> complete(result, placed), result::completeExceptionally));
        return result;
    }

    /** Takes a new state into account, and discards what was recorded about upstreams that no longer exist. */
    public void stateChanged(SteeringState next) {
        Set<String> names = new HashSet<>();
        next.upstreams().values().forEach(list -> list.forEach(u -> names.add(u.name())));
        backoff.retainAll(names);
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

    private CompletableFuture<Optional<String>> homeOf(Optional<ObjectId> object) {
        return object.map(o -> homeResolver.find(o.group(), o.key()))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    /** Selects an upstream and, if it is limited, asks for the permission to send to it; without one selects again. */
    private CompletableFuture<Either<Failure, PlacementTarget>> place(
            PlacementRequest request, Optional<ObjectId> object, Optional<String> home, int questionsLeft) {
        SteeringState current = state.get();
        long nanos = timer.nowNanos();
        Predicate<LiveUpstream> withinRate =
                upstream -> sharedRates.of(upstream, current, nanos).isEmpty()
                        || (questionsLeft > 0 && quota.mayAsk(upstream.name()));
        Either<Failure, Selection> selected = selector.select(request, object, home, withinRate, current, nanos);
        if (selected.isLeft()) {
            return CompletableFuture.completedFuture(Either.left(selected.getLeft()));
        }
        Either<Failure, Selection> reviewed = review(request, object, selected.get(), current, nanos);
        if (reviewed.isLeft()) {
            return CompletableFuture.completedFuture(Either.left(reviewed.getLeft()));
        }
        Selection selection = reviewed.get();
        OptionalDouble rate = sharedRates.of(selection.upstream(), current, nanos);
        if (rate.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Either.right(target(request, object, selection, Optional.empty(), UNLIMITED)));
        }
        return quota.ask(selection.upstream().start(), sharedRates.coldRate(selection.upstream(), current, nanos))
                .thenCompose(grant -> grant.isPresent()
                        ? CompletableFuture.completedFuture(
                                Either.right(target(request, object, selection, grant, rate.getAsDouble())))
                        : place(request, object, home, questionsLeft - 1));
    }

    /** Keeps the selection, selects another upstream in the order of the object because of load, or refuses. */
    private Either<Failure, Selection> review(
            PlacementRequest request,
            Optional<ObjectId> object,
            Selection selection,
            SteeringState current,
            long nanos) {
        LiveUpstream chosen = selection.upstream();
        Predicate<LiveUpstream> unlimited =
                upstream -> sharedRates.of(upstream, current, nanos).isEmpty();
        return loads.review(
                        request,
                        chosen,
                        atHome(object, selection),
                        () -> selector.alternatives(request, object, chosen, unlimited, current, nanos),
                        nanos)
                .map(upstream -> upstream.equals(chosen)
                        ? selection
                        : new Selection(upstream, Choice.Reason.LOAD, selection.home(), selection.considered()));
    }

    private static boolean atHome(Optional<ObjectId> object, Selection selection) {
        return object.isPresent()
                && selection.home().equals(Optional.of(selection.upstream().name()));
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
                && request.allows(region)
                && state.get().upstreams(service).stream()
                        .anyMatch(upstream -> upstream.region().equals(region));
        ObjectGroup group = new ObjectGroup(service, route.name(), preferOwnRegion ? region : ObjectId.ANY_REGION);
        long key = ObjectAffinity.keyOf(
                route.name() + group.region(), request.objectKey().get());
        return Optional.of(new ObjectId(group, key));
    }

    private double load(LiveUpstream upstream) {
        return (double) inFlight.getOrDefault(upstream.name(), 0)
                / upstream.upstream().slots();
    }

    private PlacementTarget target(
            PlacementRequest request,
            Optional<ObjectId> object,
            Selection selection,
            Optional<QuotaGrant> grant,
            double sharedRate) {
        SteeringState current = state.get();
        LiveUpstream upstream = selection.upstream();
        String name = upstream.name();
        observer.placed(
                request,
                new Choice(
                        name,
                        selection.reason(),
                        selection.home().orElse("-"),
                        inFlight.getOrDefault(name, 0),
                        selection.considered(),
                        sharedRate,
                        current.hosts().size(),
                        current.revision().number()));
        inFlight.merge(name, 1, Integer::sum);
        if (selection.reason() != Choice.Reason.LOAD) {
            object.ifPresent(o -> homeResolver.recordFallback(o.group(), o.key(), name));
        }
        LoadPlacement.Sent sent = loads.sent(request, upstream, atHome(object, selection), timer.nowNanos());
        return new PlacementTarget.UpstreamTarget(
                upstream.upstream(), new UpstreamPermit(upstream, object, grant, sent));
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
        private final LiveUpstream upstream;
        private final Optional<ObjectId> object;
        private final Optional<QuotaGrant> grant;

        private final LoadPlacement.Sent sent;

        private UpstreamPermit(
                LiveUpstream upstream, Optional<ObjectId> object, Optional<QuotaGrant> grant, LoadPlacement.Sent sent) {
            this.sent = sent;
            this.upstream = upstream;
            this.object = object;
            this.grant = grant;
        }

        @Override
        public Optional<Failure> refusalToSend() {
            long nanos = timer.nowNanos();
            boolean refused = grant.map(given -> given.expired(nanos)).orElseGet(() -> limitedNow(nanos));
            return refused ? Optional.of(Failure.of(ErrorCode.PERMIT_EXPIRED, upstream.name())) : Optional.empty();
        }

        private boolean limitedNow(long nanos) {
            SteeringState current = state.get();
            return current.upstream(upstream.upstream().service(), upstream.name())
                    .filter(known -> sharedRates.of(known, current, nanos).isPresent())
                    .isPresent();
        }

        @Override
        public void release(AttemptOutcome outcome, long serviceNanos) {
            requestEnded(upstream.name(), outcome);
            sent.ended(outcome, serviceNanos);
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
            if (notice instanceof UpstreamNotice.RateLimit limit) {
                quota.heard(upstream.start(), OptionalDouble.of(limit.perSecond()), grant);
            } else if (notice instanceof UpstreamNotice.NoRateLimit) {
                quota.heard(upstream.start(), OptionalDouble.empty(), grant);
            } else if (notice instanceof UpstreamNotice.Load load) {
                sent.stated(load, timer.nowNanos());
            } else {
                availability.record(upstream, notice, timer.nowNanos());
            }
        }
    }
}
