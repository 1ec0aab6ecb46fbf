package org.arbutusfield.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LeaderView;
import org.arbutusfield.state.RegisteredHost;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Hosts that send to one limited upstream, of which the first leads, in virtual time. Messages take some time, and so
 * does the sending of a request that has got its permission.
 */
final class QuotaFleet {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final int MAX_ONE_WAY_MICROS = 35_000;

    final VirtualTimer timer = VirtualTimer.create();
    final List<QuotaClient> clients = new ArrayList<>();
    private final ControlHandlers handlers = ControlHandlers.create();
    private final Random random;
    private final Duration maxSendDelay;
    private final Deque<Long> lastSecond = new ArrayDeque<>();
    private int unreachableHosts;
    private int sent;
    private int maxPerSecond;

    private QuotaFleet(Random random, Duration maxSendDelay) {
        this.random = random;
        this.maxSendDelay = maxSendDelay;
    }

    /**
     * Creates a fleet whose leader's term begins now.
     *
     * @param hostCount number of hosts
     * @param maxSendDelay longest time from the permission to the sending
     * @param random source of delays
     */
    static QuotaFleet create(int hostCount, Duration maxSendDelay, Random random) {
        QuotaFleet fleet = new QuotaFleet(random, maxSendDelay);
        QuotaServer server = QuotaServer.start(() -> OptionalLong.of(0), limit -> {}, fleet.timer, random);
        server.register(fleet.handlers);
        HostEntry leader = new HostEntry("host-0", "g", "d", "127.0.0.1:1", "127.0.0.1:2", 1);
        SteeringState state = new SteeringState(
                Optional.empty(),
                Map.of(),
                Set.of(),
                List.of(leader),
                new LeaderView(Optional.of(new RegisteredHost(leader, 1, 1)), 0),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
        for (int i = 0; i < hostCount; i++) {
            int number = i;
            fleet.clients.add(QuotaClient.create(
                    "host-" + i,
                    () -> state,
                    (peer, message, timeout) -> fleet.call(number, message, timeout),
                    server,
                    outcome -> {},
                    fleet.timer));
        }
        return fleet;
    }

    /** Cuts the last hosts off from the leader. */
    void cutOff(int hosts) {
        unreachableHosts = hosts;
    }

    private CompletableFuture<Either<Failure, ControlMessage>> call(
            int from, ControlMessage message, Duration timeout) {
        CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
        timer.after(timeout, () -> result.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
        if (from < clients.size() - unreachableHosts) {
            timer.after(
                    oneWay(),
                    () -> handlers.handle(message)
                            .thenAccept(response -> timer.after(oneWay(), () -> result.complete(response))));
        }
        return result;
    }

    private Duration oneWay() {
        return Duration.ofNanos(1_000L * (1 + random.nextInt(MAX_ONE_WAY_MICROS)));
    }

    /** A host has a request for the upstream; it asks if it may. */
    void request(int host, String upstream, double perSecond) {
        QuotaClient client = clients.get(host);
        if (client.mayAsk(upstream)) {
            client.ask(new UpstreamStart(upstream, 1), OptionalDouble.of(perSecond))
                    .thenAccept(grant -> grant.ifPresent(this::sendSoon));
        }
    }

    private void sendSoon(QuotaGrant grant) {
        long delay = maxSendDelay.isZero() ? 0 : (long) (random.nextDouble() * maxSendDelay.toNanos());
        timer.after(Duration.ofNanos(delay), () -> {
            if (!grant.expired(timer.nowNanos())) {
                recordSent();
            }
        });
    }

    private void recordSent() {
        sent++;
        lastSecond.add(timer.nowNanos());
        while (timer.nowNanos() - lastSecond.peek() >= SECOND.toNanos()) {
            lastSecond.remove();
        }
        maxPerSecond = Math.max(maxPerSecond, lastSecond.size());
    }

    /** Every host has a request at any time. */
    void requestEagerly(String upstream, double perSecond, Duration time, Duration step) {
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(step)) {
            int first = random.nextInt(clients.size());
            for (int i = 0; i < clients.size(); i++) {
                request((first + i) % clients.size(), upstream, perSecond);
            }
        }
    }

    /** Requests come at random times, at any host, with a mean rate. */
    void requestAtRandom(String upstream, double perSecond, double requestsPerSecond, Duration time) {
        long end = timer.nowNanos() + time.toNanos();
        while (true) {
            double seconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            Duration gap = Duration.ofNanos((long) (seconds * SECOND.toNanos()));
            if (timer.nowNanos() + gap.toNanos() >= end) {
                timer.advance(Duration.ofNanos(end - timer.nowNanos()));
                return;
            }
            timer.advance(gap);
            request(random.nextInt(clients.size()), upstream, perSecond);
        }
    }

    /** Most requests that were sent in one second since the last reset. */
    int maxPerSecond() {
        return maxPerSecond;
    }

    /** Requests that were sent since the last reset. */
    int sent() {
        return sent;
    }

    void resetCounts() {
        lastSecond.clear();
        sent = 0;
        maxPerSecond = 0;
    }
}
