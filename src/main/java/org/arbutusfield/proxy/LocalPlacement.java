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
 * Places by this host's own requests in flight: the least loaded upstream of the own region that is not drained, else
 * of the regions that the movement rules allow, in order of preference. Holds nothing back.
 */
public final class LocalPlacement implements Placement {
    private static final int OWN_REGION = Integer.MIN_VALUE;

    private final String region;
    private final Supplier<Configuration> running;
    private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    private LocalPlacement(String region, Supplier<Configuration> running) {
        this.region = region;
        this.running = running;
    }

    /** A placement for a host in the region. */
    public static LocalPlacement of(String region, Supplier<Configuration> running) {
        return new LocalPlacement(region, running);
    }

    @Override
    public CompletableFuture<Either<Failure, PlacementTarget>> place(PlacementRequest facts) {
        Configuration configuration = running.get();
        Service service = facts.service();
        Optional<Upstream> chosen = configuration.upstreams(service.name()).stream()
                .filter(u -> !configuration.drained(u) && !facts.tried().contains(u.name()))
                .filter(u -> preference(configuration, u).isPresent())
                .min(Comparator.comparing(
                                (Upstream u) -> preference(configuration, u).orElseThrow())
                        .thenComparing(u -> (double) counter(u).get() / u.slots()));
        return CompletableFuture.completedFuture(chosen.<Either<Failure, PlacementTarget>>map(
                        u -> Either.right(new PlacementTarget.UpstreamTarget(u, occupy(u))))
                .orElseGet(() -> Either.left(Failure.of(ErrorCode.NO_UPSTREAM, service.name()))));
    }

    private Optional<Integer> preference(Configuration configuration, Upstream upstream) {
        Optional<String> home = configuration.regionOf(upstream);
        if (home.equals(Optional.of(region))) {
            return Optional.of(OWN_REGION);
        }
        return configuration.items(MoveRule.class).stream()
                .filter(rule -> rule.service().equals(upstream.service()))
                .filter(rule -> rule.from().equals(region) && home.equals(Optional.of(rule.to())))
                .map(MoveRule::preference)
                .findFirst();
    }

    private Permit occupy(Upstream upstream) {
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
