package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Hosts with the real watcher, cache, registration and placement, a store, and upstreams that are only entries of the
 * store, in virtual time. Counts the requests that reach each upstream.
 */
final class SteeringFleet {
    static final Duration SECOND = Duration.ofSeconds(1);
    static final Duration STEP = Duration.ofMillis(10);
    static final Duration MAX_PROPAGATION_DELAY = Duration.ofMillis(2500);
    static final Duration COLD_PERIOD = Duration.ofSeconds(3);
    /** Long enough for all hosts to register and to read that the others have. */
    static final Duration REGISTRATION = Duration.ofSeconds(6);

    private static final int FIRST_CONTROL_PORT = 30_000;
    private static final int MAX_ONE_WAY_MILLIS = 12;
    private static final String ROUTES = "{\"version\":\"r1\",\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
            + "\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"},\"listeners\":[],\"upstreams\":[{\"name\":\"desk\","
            + "\"health_path\":\"/health\",\"max_connections\":660,\"cold_start\":\"3s\",\"cold_per_s\":%s}]}";
    private static final String ENTRY = "{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"details\":{\"service\":"
            + "\"desk\",\"version\":\"v\",\"zone\":\"d\",\"slots\":9},\"status\":{\"state\":\"ready\",\"sequence\":1,"
            + "\"cold_remaining\":\"%dms\"}}";

    final VirtualTimer timer = VirtualTimer.create();
    final KeyValueContent content = KeyValueContent.create(timer);
    final List<SteeringHost> hosts = new ArrayList<>();
    final Random random;
    /** Ports that refuse connections. */
    final Set<Integer> closedPorts = new HashSet<>();

    private final Map<String, Deque<Long>> lastSecond = new HashMap<>();
    private int maxPerSecond;
    private int total;

    /** Longest time that a call to the store, or its answer, takes. */
    private Duration maxStoreDelay = Duration.ofMillis(4);

    private SteeringFleet(Random random) {
        this.random = random;
    }

    /** Creates a fleet without hosts, whose upstreams accept so many requests per second while they are cold. */
    static SteeringFleet create(double coldPerSecond, Random random) {
        SteeringFleet fleet = new SteeringFleet(random);
        fleet.content.put("op/config", ROUTES.formatted(coldPerSecond).getBytes(StandardCharsets.UTF_8), 0);
        return fleet;
    }

    /** Adds hosts that are not started yet. */
    void addHosts(int count) {
        for (int i = 0; i < count; i++) {
            int number = hosts.size();
            hosts.add(SteeringHost.create(this, "host-" + number, FIRST_CONTROL_PORT + number));
        }
    }

    /** Starts all hosts, one shortly after the other, and waits until each knows the others. */
    void startHosts(int count) {
        addHosts(count);
        for (SteeringHost host : hosts) {
            host.start();
            timer.advance(Duration.ofMillis(random.nextInt(100)));
        }
        timer.advance(REGISTRATION);
    }

    /** Writes the entry of an upstream. */
    void report(String upstream, int start, int port, Duration cold) {
        byte[] entry = ENTRY.formatted(port, start, cold.toMillis()).getBytes(StandardCharsets.UTF_8);
        content.put("servers/" + upstream, entry, 0);
    }

    /** Removes the entry of an upstream. */
    void remove(String upstream) {
        content.remove("servers/" + upstream);
    }

    /** All hosts send what they may, in varying order, for some time. */
    void sendEagerly(Duration time) {
        for (long end = timer.nowNanos() + time.toNanos(); timer.nowNanos() < end; timer.advance(STEP)) {
            int first = random.nextInt(hosts.size());
            for (int i = 0; i < hosts.size(); i++) {
                hosts.get((first + i) % hosts.size()).sendAll();
            }
        }
    }

    /** Makes calls to the store, and answers, take up to some time from now on. */
    void setMaxStoreDelay(Duration delay) {
        maxStoreDelay = delay;
    }

    /** Returns the time that the next call to the store, or its answer, takes. */
    Duration storeDelay() {
        return Duration.ofMillis(1 + random.nextInt((int) maxStoreDelay.toMillis()));
    }

    /** Counts a request that reaches an upstream. */
    void recordArrival(String upstream) {
        total++;
        Deque<Long> times = lastSecond.computeIfAbsent(upstream, name -> new ArrayDeque<>());
        times.add(timer.nowNanos());
        while (timer.nowNanos() - times.peek() >= SECOND.toNanos()) {
            times.remove();
        }
        maxPerSecond = Math.max(maxPerSecond, times.size());
    }

    /** Most requests that reached one upstream in one second, since the last {@link #resetCounts()}. */
    int maxPerSecond() {
        return maxPerSecond;
    }

    /** Requests that reached any upstream. */
    int total() {
        return total;
    }

    void resetCounts() {
        lastSecond.clear();
        maxPerSecond = 0;
        total = 0;
    }

    /** Delivers a message from one host to another, and the response to it. */
    CompletableFuture<Either<Failure, ControlMessage>> call(
            SteeringHost from, PeerAddress peer, ControlMessage message, Duration timeout) {
        CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
        SteeringHost to = hosts.get(peer.port() - FIRST_CONTROL_PORT);
        from.process().after(timeout, () -> result.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
        if (from.reachesPeers() && to.reachesPeers()) {
            timer.after(
                    oneWay(),
                    () -> to.receive(
                            message,
                            response ->
                                    timer.after(oneWay(), () -> from.process().run(() -> result.complete(response)))));
        }
        return result;
    }

    private Duration oneWay() {
        return Duration.ofMillis(1 + random.nextInt(MAX_ONE_WAY_MILLIS));
    }
}
