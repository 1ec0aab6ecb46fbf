package org.arbutusfield.steering;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.route.Route;
import org.arbutusfield.state.LiveUpstream;

/**
 * Reviews by load where a request is to be sent: brings together what is known of the upstreams' load, what requests
 * usually take and the rank rule, for {@link ExpectedEnd} to decide.
 *
 * <p>Active where the configuration has teams, and for upstreams that state their speed; otherwise nothing is changed.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
public final class LoadPlacement {

    private static final double MIN_RETRY_SECONDS = 0.2;
    private static final double MAX_RETRY_SECONDS = 10;
    private static final double NANOS = 1e9;

    private final UpstreamLoadKnowledge knowledge;
    private final BooleanSupplier teamsConfigured;
    private final PlacementObserver observer;
    private final RouteWorkTimes workTimes = RouteWorkTimes.create();
    private final Map<String, RankShares> sharesByService = new HashMap<>();

    private LoadPlacement(
            UpstreamLoadKnowledge knowledge, BooleanSupplier teamsConfigured, PlacementObserver observer) {
        this.knowledge = knowledge;
        this.teamsConfigured = teamsConfigured;
        this.observer = observer;
    }

    /**
     * Creates the review of one host.
     *
     * @param knowledge what the host knows of the upstreams' load
     * @param teamsConfigured whether the configuration has teams
     * @param observer notified of refusals
     */
    public static LoadPlacement create(
            UpstreamLoadKnowledge knowledge, BooleanSupplier teamsConfigured, PlacementObserver observer) {
        return new LoadPlacement(knowledge, teamsConfigured, observer);
    }

    /**
     * Returns where a request is sent.
     *
     * @param request the request
     * @param chosen the upstream that was chosen without regard to load
     * @param atHome whether that is the home of the request's object
     * @param alternatives supplies further upstreams, in the order in which they are tried
     * @param nowNanos current monotonic time
     * @return the chosen upstream or an alternative; else {@code DEADLINE_UNREACHABLE}, or {@code OVERLOADED} if more
     *     urgent requests come first
     */
    Either<Failure, LiveUpstream> review(
            PlacementRequest request,
            LiveUpstream chosen,
            boolean atHome,
            Supplier<List<LiveUpstream>> alternatives,
            long nowNanos) {
        Optional<UpstreamLoadKnowledge.Known> known = knowledge.of(chosen, nowNanos);
        OptionalDouble work = workTimes.of(request.service().name(), routeOf(request), atHome);
        if (!mayReview(known) || work.isEmpty()) {
            return Either.right(chosen);
        }
        ExpectedEnd.Place home = place(request, chosen, atHome, nowNanos);
        int rank = request.rank();
        double remaining = request.remaining().toNanos() / NANOS;
        double target = target(request, remaining);
        RankShares shares = sharesByService.computeIfAbsent(request.service().name(), name -> RankShares.create());
        boolean first = request.tried().isEmpty();
        if (first) {
            shares.asked(rank, slack(target, remaining, home.work()), nowNanos);
        }
        ExpectedEnd.Demand demand = new ExpectedEnd.Demand(remaining, shares.permittedWait(rank, nowNanos));
        known.ifPresent(load -> observer.expected(seconds(home.delay()), Duration.ofNanos(load.ageNanos())));
        List<LiveUpstream> others = ExpectedEnd.staysAtHome(home, demand) ? List.of() : alternatives.get();
        List<ExpectedEnd.Place> places = others.stream()
                .map(upstream -> place(request, upstream, false, nowNanos))
                .toList();
        ExpectedEnd.Verdict verdict = ExpectedEnd.decide(home, places, demand);
        if (verdict.action() == ExpectedEnd.Action.REFUSE_DEADLINE
                || verdict.action() == ExpectedEnd.Action.REFUSE_RANK) {
            return Either.left(refusal(request, chosen, home, verdict, others.size(), known));
        }
        if (first) {
            shares.admitted(rank);
        }
        return Either.right(verdict.action() == ExpectedEnd.Action.HOME ? chosen : others.get(verdict.alternative()));
    }

    private boolean mayReview(Optional<UpstreamLoadKnowledge.Known> known) {
        return teamsConfigured.getAsBoolean()
                || known.map(UpstreamLoadKnowledge.Known::statesSlowness).orElse(false);
    }

    /** Records that a request is sent to an upstream; the result is told of its response. */
    Sent sent(PlacementRequest request, LiveUpstream upstream, boolean atHome, long nowNanos) {
        double wait = place(request, upstream, atHome, nowNanos).delay();
        knowledge.sent(upstream, nowNanos);
        return new Sent(request.service().name(), routeOf(request), upstream, atHome, wait, nowNanos);
    }

    private ExpectedEnd.Place place(PlacementRequest request, LiveUpstream upstream, boolean atHome, long nowNanos) {
        String service = request.service().name();
        double work = workTimes.of(service, routeOf(request), atHome).orElse(0);
        return ExpectedEnd.place(
                knowledge.of(upstream, nowNanos), workTimes.mean(service).orElse(work), work);
    }

    private Failure refusal(
            PlacementRequest request,
            LiveUpstream chosen,
            ExpectedEnd.Place home,
            ExpectedEnd.Verdict verdict,
            int alternatives,
            Optional<UpstreamLoadKnowledge.Known> known) {
        boolean byRank = verdict.action() == ExpectedEnd.Action.REFUSE_RANK;
        Duration retryAfter = retryAfter(request.requestId(), verdict.retryAfter());
        observer.refused(
                request,
                new PlacementRefusal(
                        byRank ? PlacementRefusal.Reason.RANK : PlacementRefusal.Reason.DEADLINE,
                        request.rank(),
                        chosen.name(),
                        seconds(home.delay()),
                        seconds(home.work()),
                        request.remaining(),
                        Duration.ofNanos(
                                known.map(UpstreamLoadKnowledge.Known::ageNanos).orElse(0L)),
                        alternatives,
                        retryAfter));
        return Failure.of(
                        byRank ? ErrorCode.OVERLOADED : ErrorCode.DEADLINE_UNREACHABLE,
                        request.service().name(),
                        byRank ? "more urgent requests come first" : "expected end after the deadline")
                .withRetryAfter(retryAfter);
    }

    /** Returns the time until the backlog is expected to be short enough, up to twice that by the request's id. */
    private static Duration retryAfter(String requestId, double backlogSeconds) {
        double base = Math.max(MIN_RETRY_SECONDS, Math.min(MAX_RETRY_SECONDS, backlogSeconds));
        double spread = (WeightedRendezvous.hash(requestId) >>> 11) * 0x1.0p-53;
        return seconds(base * (1 + spread));
    }

    private static double target(PlacementRequest request, double remaining) {
        return request.route()
                .map(route -> route.latencyObjective().toNanos() / NANOS
                        - Math.max(0, route.timeout().toNanos() / NANOS - remaining))
                .orElse(remaining);
    }

    /** Returns how long a request can wait and meet its target or, if work alone takes longer, its deadline. */
    private static double slack(double target, double remaining, double work) {
        return work < target ? target - work : Math.max(0, remaining - work);
    }

    private static String routeOf(PlacementRequest request) {
        return request.route()
                .map(Route::name)
                .orElseGet(() -> request.requestClass().name());
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (Math.min(seconds, 3600) * NANOS));
    }

    /** One request that was sent. */
    final class Sent {
        private final String service;
        private final String route;
        private final LiveUpstream upstream;
        private final boolean atHome;
        private final double expectedWait;
        private final long sentNanos;
        private double slowness = 1;

        private Sent(
                String service,
                String route,
                LiveUpstream upstream,
                boolean atHome,
                double expectedWait,
                long sentNanos) {
            this.service = service;
            this.route = route;
            this.upstream = upstream;
            this.atHome = atHome;
            this.expectedWait = expectedWait;
            this.sentNanos = sentNanos;
        }

        /** Takes the load that the upstream states in the response. */
        void stated(UpstreamNotice.Load load, long nowNanos) {
            knowledge.heard(upstream, load, nowNanos);
            slowness = knowledge
                    .of(upstream, nowNanos)
                    .map(UpstreamLoadKnowledge.Known::meanSlowness)
                    .orElse(1.0);
        }

        /** Records the end of the request. */
        void ended(AttemptOutcome outcome, long serviceNanos) {
            knowledge.ended(upstream, sentNanos);
            if (outcome == AttemptOutcome.COMPLETED) {
                double work = Math.max(0, serviceNanos / NANOS - expectedWait) / slowness;
                workTimes.record(service, route, atHome, work);
            } else if (outcome == AttemptOutcome.FAILED && mayReview(knowledge.of(upstream, sentNanos))) {
                OptionalDouble usual = workTimes.of(service, route, atHome);
                double took = serviceNanos / NANOS - expectedWait;
                usual.ifPresent(seconds -> knowledge.cut(upstream, took / seconds, sentNanos + serviceNanos));
            }
        }
    }
}
