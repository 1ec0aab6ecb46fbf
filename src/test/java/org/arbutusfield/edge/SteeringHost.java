package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.error.Failure;
import org.arbutusfield.platform.PlatformItemDecoder;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.proxy.PlacementTarget;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.quota.Leadership;
import org.arbutusfield.quota.LimitBroadcast;
import org.arbutusfield.quota.QuotaClient;
import org.arbutusfield.quota.QuotaServer;
import org.arbutusfield.reach.Forwardings;
import org.arbutusfield.reach.HostBroadcast;
import org.arbutusfield.reach.PortReports;
import org.arbutusfield.reach.RestartedUpstreams;
import org.arbutusfield.reach.SilenceEvidence;
import org.arbutusfield.state.ContentStore;
import org.arbutusfield.state.FaultyStore;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.ProcessStore;
import org.arbutusfield.state.StateCache;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.state.StoreWatcher;
import org.arbutusfield.steering.HostRetryBudget;
import org.arbutusfield.steering.PlacementRequests;
import org.arbutusfield.steering.SharedLimits;
import org.arbutusfield.steering.SharedRetryBudget;
import org.arbutusfield.steering.SteeringPlacement;
import org.arbutusfield.timer.PausableTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.gen.ControlMessage;

/** One host of a {@link SteeringFleet}; its process can be started, paused, killed and cut off. */
final class SteeringHost {
    private static final SharedRetryBudget RETRY_BUDGET = new SharedRetryBudget(0.2, Duration.ofSeconds(10), 120, 12);
    /** More requests than any host of these tests can place at one time. */
    private static final int MAX_SENDS_AT_ONCE = 5_000;

    final String name;
    final FaultyStore store;
    private final SteeringFleet fleet;
    private final HostEntry entry;
    private final Set<Integer> unconnectedPorts = new HashSet<>();
    private boolean reachesPeers = true;
    private PausableTimer process;
    private ControlHandlers handlers;
    private HostRegistrar registrar;
    private SteeringPlacement placement;
    private Leadership leadership;
    private StoreWatcher watcher;
    private static final SilenceEvidence STORE_ANSWERS =
            new SilenceEvidence((address, before, after) -> false, () -> false, () -> true);

    private RestartedUpstreams restarts;
    private SteeringState state;

    private SteeringHost(SteeringFleet fleet, String name, int controlPort) {
        this.fleet = fleet;
        this.name = name;
        this.entry = new HostEntry(name, "g", "d", "127.0.0.1:1", "127.0.0.1:" + controlPort, 1);
        this.store = FaultyStore.of(ContentStore.of(fleet.content, fleet.timer));
        this.process = PausableTimer.of(fleet.timer);
        process.kill();
    }

    static SteeringHost create(SteeringFleet fleet, String name, int controlPort) {
        return new SteeringHost(fleet, name, controlPort);
    }

    /** Starts the process, without anything that an earlier one knew. */
    void start() {
        process.kill();
        process = PausableTimer.of(fleet.timer);
        registrar = null;
        ProcessStore client = ProcessStore.of(store, fleet.timer, process, fleet::storeDelay);
        state = SteeringState.empty();
        handlers = ControlHandlers.create();
        HomePlanner planner = HomePlanner.create(() -> state, process);
        planner.register(handlers);
        HomeResolver resolver = HomeResolver.start(
                name,
                () -> state,
                (peer, message, timeout) -> fleet.call(this, peer, message, timeout),
                planner,
                process);
        HostRetryBudget retryBudget =
                HostRetryBudget.create(RETRY_BUDGET, () -> state.hosts().size(), process);
        leadership = Leadership.start(
                name,
                () -> Optional.ofNullable(registrar).flatMap(HostRegistrar::held),
                HostRegistrar.LEASE_DURATION,
                client,
                process);
        ControlTransport transport = (peer, message, timeout) -> fleet.call(this, peer, message, timeout);
        LimitBroadcast announcer = LimitBroadcast.of(HostBroadcast.of(name, () -> state, transport));
        QuotaServer quotaServer = QuotaServer.start(leadership, announcer, process, fleet.random);
        quotaServer.register(handlers);
        QuotaClient quota = QuotaClient.create(name, () -> state, transport, quotaServer, outcome -> {}, process);
        quota.register(handlers);
        StoreHealth health = StoreHealth.create();
        registrar = HostRegistrar.start(client, process, entry, health);
        placement = SteeringPlacement.create(
                "g",
                () -> state,
                resolver,
                new SharedLimits(retryBudget, quota),
                Forwardings.unused(name, () -> state, process),
                (request, choice) -> {},
                process);
        StateCache cache = StateCache.create(PlatformItemDecoder.create(), Map.of("d", "g"));
        PortReports reports = PortReports.create(
                name,
                () -> state,
                (peer, message, timeout) -> fleet.call(this, peer, message, timeout),
                (start, open) -> restarts.portReported(start, open),
                process,
                fleet.random);
        reports.register(handlers);
        restarts = RestartedUpstreams.create(this::probe, STORE_ANSWERS, reports, process, this::install);
        watcher = StoreWatcher.start(
                client, process, cache, SteeringFleet.MAX_PROPAGATION_DELAY, health, restarts::stateChanged);
    }

    private void install(SteeringState next) {
        state = next;
        leadership.stateChanged(next);
        placement.stateChanged(next);
        registrar.stateChanged(next);
    }

    private CompletableFuture<UpstreamProbe.Result> probe(InetSocketAddress address) {
        boolean open = !fleet.closedPorts.contains(address.getPort());
        return CompletableFuture.completedFuture(open ? UpstreamProbe.Result.ACCEPTED : UpstreamProbe.Result.REFUSED);
    }

    /** Does what a host does when its connections to an upstream are lost, fail to open, or open again. */
    void connect(int port, boolean succeeds) {
        boolean changed = succeeds ? unconnectedPorts.remove(port) : unconnectedPorts.add(port);
        if (changed) {
            restarts.mayHaveRestarted(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            watcher.refreshSoon();
        }
    }

    /** Reads the store soon, as after a sign of a change. */
    void refreshSoon() {
        watcher.refreshSoon();
    }

    /** Returns true if the process runs and takes itself for the leader. */
    boolean leads() {
        return process.running() && leadership.startNanos().isPresent();
    }

    PausableTimer process() {
        return process;
    }

    boolean reachesPeers() {
        return reachesPeers;
    }

    /** Cuts the host off from the others, or ends that. */
    void setReachesPeers(boolean reaches) {
        reachesPeers = reaches;
    }

    /** Receives a message of another host. */
    void receive(ControlMessage message, Consumer<Either<Failure, ControlMessage>> reply) {
        process.run(() -> handlers.handle(message).thenAccept(reply));
    }

    /** Places one request; the callback gets the target, if there is one. */
    void place(Consumer<PlacementTarget> callback) {
        placement.place(request()).thenAccept(result -> result.peek(callback));
    }

    /** Sends requests until no upstream may get another one now. */
    void sendAll() {
        boolean sent = process.running();
        for (int i = 0; i < MAX_SENDS_AT_ONCE && sent; i++) {
            CompletableFuture<Either<Failure, PlacementTarget>> placed = placement.place(request());
            placed.thenAccept(result -> result.peek(this::send));
            sent = !placed.isDone() || placed.join().isRight();
        }
    }

    private void send(PlacementTarget target) {
        fleet.recordArrival(target.name());
        target.permit().release(AttemptOutcome.COMPLETED, 1);
    }

    private static PlacementRequest request() {
        return PlacementRequests.of("desk", Set.of(), Optional.empty(), Optional.empty());
    }
}
