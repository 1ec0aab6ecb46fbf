package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.reach.Forwardings;
import org.arbutusfield.route.Route;
import org.arbutusfield.route.WeightedService;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;

/** Uploads of many hosts that start at once: what they have under way to one upstream. */
class UploadPlacementTest {
    private static final int HOSTS = 20;
    private static final int SLOTS = 6;
    private static final int QUEUE = 18;
    private static final int UPSTREAMS = 8;
    private static final int LARGEST_BYTES = 360_000;
    private static final int MEAN_BYTES = 60_000;

    private final VirtualTimer timer = VirtualTimer.create();
    private final SteeringState state = state();
    private final SplittableRandom random = new SplittableRandom(7);
    private final Map<String, Long> bytes = new HashMap<>();
    private final Map<String, Integer> requests = new HashMap<>();
    private final List<Failure> refusals = new ArrayList<>();

    private static SteeringState state() {
        List<LiveUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream("u" + i, "vault", "g-a", "127.0.0.1", 1, SLOTS, 10);
            upstreams.add(new LiveUpstream(upstream, "g", 0, 0, 1, WeightedRendezvous.hash(upstream.name())));
        }
        return new SteeringState(
                Optional.empty(),
                Map.of("vault", upstreams),
                Set.of(),
                List.of(),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    private static Route route(boolean upload) {
        return new Route(
                "r",
                "h",
                "/",
                false,
                false,
                Duration.ofSeconds(2),
                Duration.ofMillis(400),
                2,
                2,
                Set.of(),
                true,
                List.of(new WeightedService("vault", 1)),
                false,
                upload);
    }

    private static PlacementRequest request(Route route, String object, OptionalLong length) {
        PlacementRequest any = PlacementRequests.of("vault", Set.of(), Optional.of(route), Optional.of(object));
        return new PlacementRequest(
                object,
                any.service(),
                any.requestClass(),
                "POST",
                any.path(),
                any.remaining(),
                any.caller(),
                0,
                Set.of(),
                any.route(),
                any.objectKey(),
                Optional.empty(),
                length);
    }

    private SteeringPlacement host(String name, int hosts) {
        HomeResolver resolver = HomeResolver.start(
                name,
                () -> state,
                (peer, message, timeout) ->
                        CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))),
                HomePlanner.create(() -> state, timer),
                timer);
        HostRetryBudget budget = HostRetryBudget.create(
                new SharedRetryBudget(0.2, Duration.ofSeconds(3), 10, hosts), () -> hosts, timer);
        return SteeringPlacement.create(
                "g",
                () -> state,
                resolver,
                new SharedLimits(budget, GrantedQuota.never(timer)),
                Forwardings.unused(name, () -> state, timer),
                (placementRequest, choice) -> {},
                timer);
    }

    private long uploadBytes() {
        return random.nextInt(100) < 5 ? LARGEST_BYTES : random.nextInt(2 * MEAN_BYTES);
    }

    /** All hosts start at once, and half of the uploads concern one popular object; none ends in the meantime. */
    private void burst(Route route) {
        for (int h = 0; h < HOSTS; h++) {
            SteeringPlacement host = host("h" + h, HOSTS);
            for (int i = 0; i < 10; i++) {
                long length = uploadBytes();
                String object = i % 2 == 0 ? "popular" : "o" + random.nextInt(50);
                host.place(request(route, object, OptionalLong.of(length)))
                        .join()
                        .peek(target -> {
                            bytes.merge(target.name(), length, Long::sum);
                            requests.merge(target.name(), 1, Integer::sum);
                        })
                        .peekLeft(refusals::add);
            }
        }
    }

    /**
     * Shows why upstreams crash: on a route that isn't of the upload type, everything goes to the homes, and one
     * upstream gets several times the requests that its slots and its queue hold.
     */
    @Test
    void withoutTheBoundOneUpstreamGetsMoreThanItHolds() {
        burst(route(false));
        int most = requests.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertThat(refusals).isEmpty();
        assertThat(most).isGreaterThan(4 * (SLOTS + QUEUE));
    }

    /** Guards against the crash of an upstream to which the hosts together have too much under way. */
    @Test
    void uploadsUnderWayToOneUpstreamAreBounded() {
        burst(route(true));
        assertThat(requests.values()).allMatch(count -> count <= HOSTS);
        assertThat(HOSTS).isLessThan(SLOTS + QUEUE);
        assertThat(bytes.values()).allMatch(sum -> sum <= (long) HOSTS * LARGEST_BYTES);
        assertThat(requests).hasSize(UPSTREAMS);
        assertThat(refusals).hasSize(HOSTS * (10 - UPSTREAMS)).allMatch(Failure::notRun);
        assertThat(refusals).allMatch(failure -> failure.code() == ErrorCode.OVERLOADED);
        assertThat(refusals).allMatch(failure -> failure.retryAfter().isPresent());
    }

    /** An upload whose length isn't declared counts as the largest one. */
    @Test
    void bytesOfOneHostStayWithinItsPart() {
        SteeringPlacement host = host("h", 2);
        int placed = 0;
        for (int i = 0; i < 100; i++) {
            placed += host.place(request(route(true), "o", OptionalLong.empty()))
                            .join()
                            .isRight()
                    ? 1
                    : 0;
        }
        assertThat(placed).isEqualTo(UPSTREAMS * SLOTS / 2);
    }

    /** Guards against room that is never returned, whatever the outcome. */
    @Test
    void endedUploadsMakeRoom() {
        SteeringPlacement host = host("h", HOSTS);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            for (int i = 0; i < 3; i++) {
                List<PlacementTarget> targets = new ArrayList<>();
                for (int u = 0; u < UPSTREAMS; u++) {
                    targets.add(host.place(request(route(true), "o", OptionalLong.of(1)))
                            .join()
                            .get());
                }
                assertThat(targets.stream().map(PlacementTarget::name).distinct())
                        .hasSize(UPSTREAMS);
                assertThat(host.place(request(route(true), "o", OptionalLong.of(1)))
                                .join()
                                .isLeft())
                        .isTrue();
                targets.forEach(target -> target.permit().release(outcome, 1));
            }
        }
    }
}
