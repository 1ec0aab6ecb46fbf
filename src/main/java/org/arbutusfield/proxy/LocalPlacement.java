package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;

/**
 * Places each request at the least loaded upstream, by this host's own counts of requests in flight. The host's region
 * comes first, then the regions that the movement rules allow, in order of preference. Drained upstreams and those at
 * which an attempt has failed are skipped. Requests are never queued.
 */
public final class LocalPlacement implements Placement {
    private static final int OWN_REGION_PREFERENCE = Integer.MIN_VALUE;

    private final String region;
    private final Supplier<Configuration> configurationInForce;
    private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    private LocalPlacement(String region, Supplier<Configuration> configurationInForce) {
        this.region = region;
        this.configurationInForce = configurationInForce;
    }

    /** Creates a placement for a host in the region. */
    public static LocalPlacement of(String region, Supplier<Configuration> configurationInForce) {
        return new LocalPlacement(region, configurationInForce);
    }

    @Override
    public CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest request) {
        Configuration configuration = configurationInForce.get();
        Service service = request.service();
        Optional<Upstream> chosen = configuration.upstreams(service.name()).stream()
                .filter(u -> !configuration.drained(u) && !request.tried().contains(u.name()))
                .filter(u -> preference(configuration, u).isPresent())
                .min(Comparator.comparing(
                                (Upstream u) -> preference(configuration, u).orElseThrow())
                        .thenComparing(u -> (double) counter(u).get() / u.slots()));
        return CompletableFuture.completedFuture(chosen.<Either<Failure, PlacementTarget>>map(
                        u -> Either.right(new PlacementTarget.UpstreamTarget(u, acquirePermit(u))))
                .orElseGet(() -> Either.left(Failure.of(ErrorCode.NO_UPSTREAM, service.name()))));
    }

    private Optional<Integer> preference(Configuration configuration, Upstream upstream) {
        Optional<String> upstreamRegion = configuration.regionOf(upstream);
        if (upstreamRegion.equals(Optional.of(region))) {
            return Optional.of(OWN_REGION_PREFERENCE);
        }
        return configuration.items(MoveRule.class).stream()
                .filter(rule -> rule.service().equals(upstream.service()))
                .filter(rule -> rule.from().equals(region) && upstreamRegion.equals(Optional.of(rule.to())))
                .map(MoveRule::preference)
                .findFirst();
    }

    private Permit acquirePermit(Upstream upstream) {
        AtomicInteger count = counter(upstream);
        count.incrementAndGet();
        AtomicBoolean held = new AtomicBoolean(true);
        return (outcome, nanos) -> {
            if (held.compareAndSet(true, false)) {
                count.decrementAndGet();
            }
        };
    }

    private AtomicInteger counter(Upstream upstream) {
        return inFlight.computeIfAbsent(upstream.name(), name -> new AtomicInteger());
    }
}
