package org.arbutusfield.steering;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;

/**
 * Selects the upstream for a request: the home of its object if that may get the request, else the first upstream in
 * the object's order or, without an object, the less loaded of two.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
final class UpstreamSelector {
    /** Further upstreams in an object's order that its requests may use; each becomes warm for it if used often. */
    private static final int MAX_ALTERNATIVES = 3;

    private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofMillis(400);

    private final UpstreamAvailability availability;
    private final UpstreamBackoff backoff;
    private final ToDoubleFunction<LiveUpstream> load;

    private UpstreamSelector(
            UpstreamAvailability availability, UpstreamBackoff backoff, ToDoubleFunction<LiveUpstream> load) {
        this.availability = availability;
        this.backoff = backoff;
        this.load = load;
    }

    /**
     * Creates a selector.
     *
     * @param availability knows which upstreams want no requests
     * @param backoff knows which upstreams have just failed
     * @param load returns this host's load of an upstream
     */
    static UpstreamSelector of(
            UpstreamAvailability availability, UpstreamBackoff backoff, ToDoubleFunction<LiveUpstream> load) {
        return new UpstreamSelector(availability, backoff, load);
    }

    /**
     * Selects an upstream; fails with {@code NO_UPSTREAM}.
     *
     * @param request the request
     * @param object the object that it concerns, if its route has session affinity
     * @param home name of the object's home, if it is known
     * @param withinRate false for an upstream that would now get more than it accepts from all hosts
     * @param current the state to select from
     * @param nowNanos current monotonic time
     */
    Either<Failure, Selection> select(
            PlacementRequest request,
            Optional<ObjectId> object,
            Optional<String> home,
            Predicate<LiveUpstream> withinRate,
            SteeringState current,
            long nowNanos) {
        String region = object.map(o -> o.group().region()).orElse(ObjectId.ANY_REGION);
        Predicate<LiveUpstream> eligible = upstream -> untriedAndInAllowedRegion(request, upstream)
                && availability.accepts(upstream, nowNanos)
                && withinRate.test(upstream);
        Optional<LiveUpstream> usableHome = home.flatMap(
                        name -> current.upstream(request.service().name(), name))
                .filter(upstream -> inRegion(region, upstream))
                .filter(eligible)
                .filter(upstream -> !backoff.inBackoff(upstream.name(), nowNanos));
        if (usableHome.isPresent()) {
            return Either.right(new Selection(usableHome.get(), Choice.Reason.HOME, home, 1));
        }
        List<LiveUpstream> candidates =
                candidates(current.upstreams(request.service().name()), region, eligible, nowNanos);
        return candidates.isEmpty()
                ? Either.left(noUpstream(request, current, nowNanos))
                : Either.right(selectFrom(candidates, object, home));
    }

    /**
     * Returns the first upstreams in the order of a key that may serve a request in place of the chosen one: warm, in
     * the same region group, not in back-off, and accepted by the predicate.
     */
    List<LiveUpstream> alternatives(
            PlacementRequest request,
            Optional<ObjectId> object,
            LiveUpstream chosen,
            Predicate<LiveUpstream> accepted,
            SteeringState current,
            long nowNanos) {
        String region = object.map(o -> o.group().region()).orElse(ObjectId.ANY_REGION);
        long key = object.map(ObjectId::key).orElseGet(() -> WeightedRendezvous.hash(request.requestId()));
        List<LiveUpstream> eligible = new ArrayList<>();
        for (LiveUpstream upstream : current.upstreams(request.service().name())) {
            boolean usable = !upstream.name().equals(chosen.name())
                    && inRegion(region, upstream)
                    && !upstream.cold(nowNanos)
                    && untriedAndInAllowedRegion(request, upstream)
                    && availability.accepts(upstream, nowNanos)
                    && !backoff.inBackoff(upstream.name(), nowNanos)
                    && accepted.test(upstream);
            if (usable) {
                eligible.add(upstream);
            }
        }
        return ObjectAffinity.firstOf(key, eligible, MAX_ALTERNATIVES);
    }

    private Selection selectFrom(List<LiveUpstream> candidates, Optional<ObjectId> object, Optional<String> home) {
        Optional<LiveUpstream> homeAmongCandidates = home.flatMap(name -> find(name, candidates));
        LiveUpstream chosen = homeAmongCandidates.orElseGet(() -> fallback(object, candidates));
        return new Selection(chosen, reason(object, homeAmongCandidates), home, candidates.size());
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
     * Returns the eligible upstreams of a region, or those of all regions when it has none. Upstreams in back-off are
     * included only when there are no others.
     */
    private List<LiveUpstream> candidates(
            List<LiveUpstream> upstreams, String region, Predicate<LiveUpstream> eligible, long nowNanos) {
        List<LiveUpstream> preferred = candidatesWithin(upstreams, region, eligible, nowNanos);
        boolean widen = preferred.isEmpty() && !region.equals(ObjectId.ANY_REGION);
        return widen ? candidatesWithin(upstreams, ObjectId.ANY_REGION, eligible, nowNanos) : preferred;
    }

    private List<LiveUpstream> candidatesWithin(
            List<LiveUpstream> upstreams, String region, Predicate<LiveUpstream> eligible, long nowNanos) {
        List<LiveUpstream> inBackoff = new ArrayList<>();
        List<LiveUpstream> others = new ArrayList<>();
        for (LiveUpstream upstream : upstreams) {
            if (!inRegion(region, upstream) || !eligible.test(upstream)) {
                continue;
            }
            boolean resting = backoff.inBackoff(upstream.name(), nowNanos);
            (resting ? inBackoff : others).add(upstream);
        }
        return others.isEmpty() ? inBackoff : others;
    }

    private Failure noUpstream(PlacementRequest request, SteeringState current, long nowNanos) {
        return Failure.of(ErrorCode.NO_UPSTREAM, request.service().name(), "version " + current.routesVersion())
                .withRetryAfter(timeUntilUpstreamAccepts(request, current, nowNanos));
    }

    /** Returns the time until the first upstream that may serve the request ends its pause, if any is pausing. */
    private Duration timeUntilUpstreamAccepts(PlacementRequest request, SteeringState current, long nowNanos) {
        return current.upstreams(request.service().name()).stream()
                .filter(upstream -> untriedAndInAllowedRegion(request, upstream))
                .flatMap(upstream -> availability.pauseLeft(upstream, nowNanos).stream())
                .min(Comparator.naturalOrder())
                .orElse(NO_UPSTREAM_RETRY_AFTER);
    }

    private static boolean inRegion(String region, LiveUpstream upstream) {
        return region.equals(ObjectId.ANY_REGION) || upstream.region().equals(region);
    }

    private static boolean untriedAndInAllowedRegion(PlacementRequest request, LiveUpstream upstream) {
        return !request.tried().contains(upstream.name()) && request.allows(upstream.region());
    }

    private static Optional<LiveUpstream> find(String name, List<LiveUpstream> candidates) {
        return candidates.stream()
                .filter(upstream -> upstream.name().equals(name))
                .findFirst();
    }

    private LiveUpstream lessLoadedOfTwo(List<LiveUpstream> candidates) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        LiveUpstream first = candidates.get(random.nextInt(candidates.size()));
        LiveUpstream second = candidates.get(random.nextInt(candidates.size()));
        return load.applyAsDouble(first) <= load.applyAsDouble(second) ? first : second;
    }
}
