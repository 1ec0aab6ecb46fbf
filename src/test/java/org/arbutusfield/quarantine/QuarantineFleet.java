package org.arbutusfield.quarantine;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.platform.PlatformItemDecoder;
import org.arbutusfield.proxy.InterruptedRun;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.state.ContentStore;
import org.arbutusfield.state.FaultyStore;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.HostEntryCodec;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.StateCache;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.state.StoreWatcher;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Many hosts with the real watcher, cache and quarantine, and upstreams that end with all that they run, in virtual
 * time. Requests with a fingerprint that begins with {@link #CRASHING} end the upstream that runs them.
 */
final class QuarantineFleet {
    static final String CRASHING = "crash";
    static final Duration STEP = Duration.ofMillis(10);

    private static final Duration RUN_TIME = Duration.ofMillis(100);
    private static final Duration ENTRY_STAYS = Duration.ofSeconds(2);
    private static final Duration RESTART_TIME = Duration.ofSeconds(4);
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(12);
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(2);
    private static final String ENTRY = "{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"details\":{\"service\":"
            + "\"desk\",\"version\":\"v\",\"zone\":\"d\",\"slots\":3},\"status\":{\"state\":\"%s\",\"sequence\":%d,"
            + "\"cold_remaining\":\"0ms\"}}";

    final VirtualTimer timer = VirtualTimer.create();
    final KeyValueContent content = KeyValueContent.create(timer);
    final List<Host> hosts = new ArrayList<>();
    final Random random;
    /** Times at which a crashing request arrived at an upstream, in nanoseconds. */
    final List<Long> crashingArrivals = new ArrayList<>();

    private final Map<String, Server> servers = new HashMap<>();
    private int starts;
    private int requests;

    private QuarantineFleet(Random random) {
        this.random = random;
    }

    static QuarantineFleet start(int hostCount, int upstreams, Random random) {
        QuarantineFleet fleet = new QuarantineFleet(random);
        for (int i = 0; i < upstreams; i++) {
            fleet.startUpstream();
        }
        for (int i = 0; i < hostCount; i++) {
            fleet.addHost();
        }
        fleet.timer.advance(MAX_PROPAGATION_DELAY);
        return fleet;
    }

    /** One host; it can be frozen, restarted, or cut off from the store or from the upstreams. */
    final class Host {
        final HostEntry entry;
        final FaultyStore store = FaultyStore.of(ContentStore.of(content, timer));
        boolean frozen;
        boolean reachesUpstreams = true;
        RequestQuarantine quarantine;
        private ControlHandlers handlers;
        private SteeringState state;
        private int incarnation;

        private Host(HostEntry entry) {
            this.entry = entry;
            restart();
        }

        /** Starts the process again, without anything it knew. */
        void restart() {
            incarnation++;
            int current = incarnation;
            state = SteeringState.empty();
            handlers = ControlHandlers.create();
            quarantine = RequestQuarantine.start(
                    entry.name(),
                    () -> state,
                    (peer, message, timeout) -> call(this, peer, message, timeout),
                    store,
                    this::probe,
                    upstream -> servers.get(upstream.name()).leaving,
                    timer);
            quarantine.register(handlers);
            StoreWatcher.start(
                    store,
                    timer,
                    StateCache.create(PlatformItemDecoder.create(), Map.of("d", "g")),
                    MAX_PROPAGATION_DELAY,
                    StoreHealth.create(),
                    next -> install(current, next));
        }

        private void install(int current, SteeringState next) {
            if (current == incarnation && !frozen) {
                state = next;
                quarantine.stateChanged(next);
            }
        }

        private CompletableFuture<UpstreamProbe.Result> probe(InetSocketAddress address) {
            CompletableFuture<UpstreamProbe.Result> result = new CompletableFuture<>();
            timer.after(
                    MESSAGE_DELAY,
                    () -> result.complete(
                            portClosed(address.getPort())
                                    ? UpstreamProbe.Result.REFUSED
                                    : UpstreamProbe.Result.ACCEPTED));
            return result;
        }

        private boolean portClosed(int port) {
            return !reachesUpstreams || servers.values().stream().noneMatch(s -> s.alive && s.port == port);
        }

        /** Sends a request as the proxy does; returns false if it was refused. */
        boolean send(String fingerprint) {
            if (quarantine.quarantined(fingerprint)) {
                return false;
            }
            List<LiveUpstream> candidates = state.upstreams("desk").stream()
                    .filter(upstream -> servers.get(upstream.name()).alive)
                    .toList();
            if (!candidates.isEmpty()) {
                Upstream upstream =
                        candidates.get(random.nextInt(candidates.size())).upstream();
                run(new Run(this, fingerprint, upstream, timer.nowNanos()));
            }
            return true;
        }

        /** Loses all connections to upstreams, and can open none, as a host does that is cut off from them. */
        void cutFromUpstreams() {
            reachesUpstreams = false;
            for (Server server : servers.values()) {
                List<Run> own =
                        server.runs.stream().filter(run -> run.host == this).toList();
                server.runs.removeAll(own);
                own.forEach(this::interrupted);
            }
        }

        private void interrupted(Run run) {
            if (frozen) {
                return;
            }
            Duration sinceSent = Duration.ofNanos(timer.nowNanos() - run.sentNanos);
            quarantine.runInterrupted(new InterruptedRun(
                    "r" + requests,
                    List.of(run.fingerprint),
                    run.upstream,
                    sinceSent,
                    timer.nowNanos(),
                    portClosed(run.upstream.port())));
        }
    }

    /** One start of an upstream. */
    private static final class Server {
        private final String name;
        private final int port;
        private final Set<Run> runs = new HashSet<>();
        private boolean alive = true;
        private boolean leaving;

        private Server(String name, int port) {
            this.name = name;
            this.port = port;
        }
    }

    /** One run of a request at an upstream. */
    private record Run(Host host, String fingerprint, Upstream upstream, long sentNanos) {}

    Host addHost() {
        int number = hosts.size();
        HostEntry entry = new HostEntry("host-" + number, "g", "d", "127.0.0.1:1", "127.0.0.1:" + (1000 + number), 1);
        content.put(HostEntryCodec.key(entry.name()), HostEntryCodec.encode(entry), 0);
        Host host = new Host(entry);
        hosts.add(host);
        return host;
    }

    Host anyHost() {
        Host host = hosts.get(random.nextInt(hosts.size()));
        return host.frozen ? anyHost() : host;
    }

    /** Number of hosts that refuse the request. */
    long refusing(String fingerprint) {
        return hosts.stream()
                .filter(host -> host.quarantine.quarantined(fingerprint))
                .count();
    }

    /** Ends some upstreams at the same moment. */
    void crashTogether(int count) {
        List<Server> alive =
                new ArrayList<>(servers.values().stream().filter(s -> s.alive).toList());
        Collections.shuffle(alive, random);
        List<Server> ending = alive.subList(0, Math.min(count, alive.size()));
        ending.forEach(server -> server.alive = false);
        ending.forEach(this::ended);
    }

    /** Tells the hosts that all upstreams are about to stop, as upstreams do in their responses. */
    void announceStops() {
        servers.values().forEach(server -> server.leaving = true);
    }

    private void startUpstream() {
        starts++;
        Server server = new Server("u-" + starts, 20_000 + starts);
        servers.put(server.name, server);
        String entry = ENTRY.formatted(server.port, starts, "ready", 1);
        content.put("servers/" + server.name, entry.getBytes(StandardCharsets.UTF_8), 0);
    }

    private void run(Run run) {
        requests++;
        Server server = servers.get(run.upstream.name());
        if (run.fingerprint.startsWith(CRASHING)) {
            crashingArrivals.add(timer.nowNanos());
        }
        if (!run.host.reachesUpstreams) {
            return;
        }
        server.runs.add(run);
        timer.after(RUN_TIME, () -> finish(server, run));
    }

    private void finish(Server server, Run run) {
        if (!server.runs.contains(run)) {
            return;
        }
        if (run.fingerprint.startsWith(CRASHING)) {
            server.alive = false;
            ended(server);
            return;
        }
        server.runs.remove(run);
        run.host.quarantine.answered(() -> List.of(run.fingerprint));
    }

    private void ended(Server server) {
        List<Run> lost = List.copyOf(server.runs);
        server.runs.clear();
        lost.forEach(run -> run.host.interrupted(run));
        timer.after(ENTRY_STAYS, () -> content.remove("servers/" + server.name));
        timer.after(RESTART_TIME, this::startUpstream);
    }

    private CompletableFuture<Either<Failure, ControlMessage>> call(
            Host from, PeerAddress peer, ControlMessage message, Duration timeout) {
        CompletableFuture<Either<Failure, ControlMessage>> response = new CompletableFuture<>();
        timer.after(timeout, () -> response.complete(Either.left(Failure.of(ErrorCode.PEER_TIMEOUT))));
        Optional<Host> to = hosts.stream()
                .filter(host -> host.entry.controlAddress().endsWith(":" + peer.port()))
                .findFirst();
        timer.after(MESSAGE_DELAY, () -> {
            if (to.isPresent() && !to.get().frozen && !from.frozen) {
                to.get()
                        .handlers
                        .handle(message)
                        .thenAccept(result -> timer.after(MESSAGE_DELAY, () -> response.complete(result)));
            }
        });
        return response;
    }
}
