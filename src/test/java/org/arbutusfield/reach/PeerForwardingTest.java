package org.arbutusfield.reach;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.steering.PlacementRequests;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sixteen hosts of three regions and twenty upstreams in virtual time. The load: six requests a second to each host, of
 * which some are cut off from all upstreams and the others know nothing of it.
 */
class PeerForwardingTest {
    private static final int HOSTS = 16;
    private static final int UPSTREAMS = 20;
    private static final int CAPACITY = 420;
    private static final int REGIONS = 3;
    private static final int MAX_TRIES = 4;
    /** What a host of this capacity takes from others. */
    private static final int MAX_HELPED_PER_SECOND = 84;

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RUN_TIME = Duration.ofMillis(200);
    private static final Duration HOP = Duration.ofMillis(12);
    private static final Duration KNOWN = Duration.ofSeconds(3);
    private static final Duration OBSERVED = Duration.ofSeconds(5);
    private static final double REQUESTS_PER_STEP = 0.06;
    /** From fifteen hosts this is five times what one host takes from others. */
    private static final double REQUESTS_PER_STEP_IN_RUSH = 0.3;

    private final VirtualTimer timer = VirtualTimer.create();
    private final Random random = new Random(1);
    private final List<Host> hosts = new ArrayList<>();
    private boolean upstreamsRun = true;
    private double requestsPerStep = REQUESTS_PER_STEP;
    private int sent;
    private int served;
    private int ownServed;

    /** One host. */
    private final class Host {
        private final String name;
        private final PeerForwarding forwarding;
        private final UpstreamReach reach;
        private final Deque<Long> helped = new ArrayDeque<>();
        private boolean linked = true;
        private int maxHelpedInSecond;

        private Host(int number) {
            name = "host-" + number;
            reach = UpstreamReach.create(
                    PeerForwardingTest.this::state, address -> probe(), timer, new SplittableRandom(number));
            forwarding = PeerForwarding.create(
                    name,
                    "region-" + number % REGIONS,
                    CAPACITY,
                    PeerForwardingTest.this::state,
                    reach,
                    timer,
                    new SplittableRandom(number));
        }

        private CompletableFuture<UpstreamProbe.Result> probe() {
            CompletableFuture<UpstreamProbe.Result> result = new CompletableFuture<>();
            boolean open = linked && upstreamsRun;
            timer.after(
                    open ? HOP : CONNECT_TIMEOUT,
                    () -> result.complete(open ? UpstreamProbe.Result.ACCEPTED : UpstreamProbe.Result.NO_ANSWER));
            return result;
        }

        private void request(Set<String> tried, int hops, CompletableFuture<Boolean> answer) {
            if (tried.size() >= MAX_TRIES) {
                answer.complete(false);
                return;
            }
            Optional<Either<Failure, PlacementTarget>> placed = forwarding.place(placement(tried, hops));
            if (placed.isEmpty()) {
                useOwnLinks(tried, hops, answer);
            } else if (placed.get().isLeft()) {
                answer.complete(false);
            } else {
                passOn(placed.get().get(), tried, answer);
            }
        }

        private void useOwnLinks(Set<String> tried, int hops, CompletableFuture<Boolean> answer) {
            String upstream = "u-" + random.nextInt(UPSTREAMS);
            if (linked && upstreamsRun) {
                ownServed += hops == 0 ? 1 : 0;
                recordHelp(hops);
                timer.after(RUN_TIME, () -> {
                    forwarding.reached("desk");
                    answer.complete(true);
                });
                return;
            }
            timer.after(CONNECT_TIMEOUT, () -> {
                forwarding.failed("desk", upstream);
                request(with(tried, upstream), hops, answer);
            });
        }

        private void passOn(PlacementTarget helper, Set<String> tried, CompletableFuture<Boolean> answer) {
            Host other = hosts.stream()
                    .filter(host -> host.name.equals(helper.name()))
                    .findFirst()
                    .orElseThrow();
            timer.after(HOP, () -> {
                Optional<Either<Failure, PlacementTarget>> refusal = other.forwarding.place(placement(Set.of(), 1));
                if (refusal.isPresent()) {
                    helper.permit().refused(refusal.get().getLeft());
                    helper.permit().release(AttemptOutcome.SHED, 1);
                    request(with(tried, helper.name()), 0, answer);
                    return;
                }
                CompletableFuture<Boolean> there = new CompletableFuture<>();
                other.useOwnLinks(Set.of(), 1, there);
                there.thenAccept(ok -> {
                    helper.permit().release(AttemptOutcome.COMPLETED, 1);
                    answer.complete(ok);
                });
            });
        }

        private void recordHelp(int hops) {
            if (hops == 0) {
                return;
            }
            helped.add(timer.nowNanos());
            while (timer.nowNanos() - helped.peek() >= Duration.ofSeconds(1).toNanos()) {
                helped.remove();
            }
            maxHelpedInSecond = Math.max(maxHelpedInSecond, helped.size());
        }
    }

    PeerForwardingTest() {
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(i));
        }
    }

    private SteeringState state() {
        List<LiveUpstream> upstreams = IntStream.range(0, UPSTREAMS)
                .mapToObj(i -> new LiveUpstream(
                        new Upstream("u-" + i, "desk", "d", "127.0.0.1", 100 + i, 3, 64), "region-0", 0, 0, 1, i))
                .toList();
        List<HostEntry> entries = IntStream.range(0, HOSTS)
                .mapToObj(i -> new HostEntry(
                        "host-" + i, "region-" + i % REGIONS, "d", "127.0.0.1:1", "127.0.0.1:2", CAPACITY))
                .toList();
        return new SteeringState(
                Optional.empty(), Map.of("desk", upstreams), Set.of(), entries, Map.of(), Map.of(), StoreRevision.NONE);
    }

    private static PlacementRequest placement(Set<String> tried, int hops) {
        PlacementRequest request = PlacementRequests.of("desk", tried, Optional.empty(), Optional.empty());
        return new PlacementRequest(
                request.requestId(),
                request.service(),
                request.requestClass(),
                request.method(),
                request.path(),
                request.remaining(),
                request.caller(),
                hops,
                tried,
                request.route(),
                request.objectKey());
    }

    private static Set<String> with(Set<String> names, String name) {
        Set<String> all = new HashSet<>(names);
        all.add(name);
        return all;
    }

    private void cutOff(int count) {
        hosts.subList(0, count).forEach(host -> host.linked = false);
    }

    /** Sends the load to some hosts for some time; counts what was sent and served. */
    private void load(List<Host> loaded, Duration time) {
        sent = 0;
        served = 0;
        ownServed = 0;
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(STEP)) {
            for (Host host : loaded) {
                if (random.nextDouble() < requestsPerStep) {
                    sent++;
                    CompletableFuture<Boolean> answer = new CompletableFuture<>();
                    answer.thenAccept(ok -> served += ok ? 1 : 0);
                    host.request(Set.of(), 0, answer);
                }
            }
        }
        timer.advance(Duration.ofSeconds(2));
    }

    /**
     * Guards against hosts that have lost their links to all upstreams and refuse their callers; and against the others
     * being flooded by what they pass on, although most of the hosts are cut off.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 10, 13})
    void callersOfHostsThatAreCutOffAreServedByTheOthers(int cutOff) {
        load(hosts, KNOWN);
        cutOff(cutOff);
        load(hosts, KNOWN);
        load(hosts.subList(0, cutOff), OBSERVED);
        assertThat(served).as("served of %s", sent).isGreaterThanOrEqualTo(sent * 98 / 100);
        assertThat(hosts).allMatch(host -> host.maxHelpedInSecond <= 2 * MAX_HELPED_PER_SECOND);
    }

    /** Guards against the flood of the last host that reaches upstreams. */
    @Test
    void lastHostIsNotFlooded() {
        cutOff(HOSTS - 1);
        load(hosts, KNOWN);
        load(hosts, OBSERVED);
        Host last = hosts.get(HOSTS - 1);
        assertThat(last.maxHelpedInSecond).isBetween(1, 2 * MAX_HELPED_PER_SECOND);
        load(List.of(last), OBSERVED);
        assertThat(served).as("its own callers").isEqualTo(sent);
    }

    /** Guards against a host that takes from the others whatever they ask, when they get five times the usual load. */
    @Test
    void lastHostTakesNoMoreThanItsLimitInARush() {
        cutOff(HOSTS - 1);
        load(hosts, KNOWN);
        requestsPerStep = REQUESTS_PER_STEP_IN_RUSH;
        load(hosts.subList(0, HOSTS - 1), OBSERVED);
        Host last = hosts.get(HOSTS - 1);
        assertThat(last.maxHelpedInSecond).isBetween(MAX_HELPED_PER_SECOND, 2 * MAX_HELPED_PER_SECOND);
        assertThat(served)
                .as("served of %s", sent)
                .isGreaterThanOrEqualTo((int) (OBSERVED.toSeconds() - 1) * MAX_HELPED_PER_SECOND);
    }

    /** Guards against requests that are held or sent in circles while no upstream runs at all. */
    @Test
    void requestsAreRefusedAtOnceWhenNoHostReachesUpstreams() {
        upstreamsRun = false;
        load(hosts, KNOWN);
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        hosts.get(0).request(Set.of(), 0, answer);
        timer.advance(CONNECT_TIMEOUT.dividedBy(2));
        assertThat(answer).isCompletedWithValue(false);
        upstreamsRun = true;
        load(hosts, KNOWN);
        load(hosts, OBSERVED);
        assertThat(served).isEqualTo(sent);
        assertThat(ownServed).as("by own links").isEqualTo(sent);
    }

    /** After a cut the hosts return to their own links, and fail no request while they do. */
    @Test
    void hostsReturnToTheirOwnLinksWithoutLosingRequests() {
        cutOff(4);
        load(hosts, KNOWN);
        hosts.forEach(host -> host.linked = true);
        load(hosts.subList(0, 4), KNOWN);
        assertThat(served).isEqualTo(sent);
        load(hosts.subList(0, 4), OBSERVED);
        assertThat(ownServed).isEqualTo(sent);
    }

    /** One upstream that is down, however often it is tried, doesn't make a host leave its own links. */
    @Test
    void oneUpstreamThatIsDownIsNoCut() {
        Host host = hosts.get(0);
        for (int i = 0; i < 50; i++) {
            host.forwarding.failed("desk", "u-1");
        }
        assertThat(host.forwarding.place(placement(Set.of("u-1"), 0))).isEmpty();
        assertThat(host.reach.reachesAny()).isTrue();
    }
}
