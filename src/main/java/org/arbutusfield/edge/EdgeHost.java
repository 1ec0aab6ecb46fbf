package org.arbutusfield.edge;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.affinity.HomePlanner;
import org.arbutusfield.affinity.HomeResolver;
import org.arbutusfield.affinity.HomeStoreWriter;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.misc.Addresses;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.observe.RequestMetrics;
import org.arbutusfield.proxy.IdempotencyGuard;
import org.arbutusfield.proxy.LocalHandler;
import org.arbutusfield.proxy.ProxyComponents;
import org.arbutusfield.proxy.ProxyLimits;
import org.arbutusfield.proxy.ProxyServer;
import org.arbutusfield.proxy.RequestObserver;
import org.arbutusfield.proxy.upstream.PortProbe;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.quarantine.RequestQuarantine;
import org.arbutusfield.quota.Leadership;
import org.arbutusfield.quota.LimitBroadcast;
import org.arbutusfield.quota.QuotaClient;
import org.arbutusfield.quota.QuotaServer;
import org.arbutusfield.quota.UpstreamQuota;
import org.arbutusfield.reach.HostBroadcast;
import org.arbutusfield.reach.PeerForwarding;
import org.arbutusfield.reach.PortReports;
import org.arbutusfield.reach.RestartedUpstreams;
import org.arbutusfield.reach.SilenceEvidence;
import org.arbutusfield.reach.UpstreamReach;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.share.ShareClient;
import org.arbutusfield.share.ShareServer;
import org.arbutusfield.share.ShareTolerance;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.PeerConfiguration;
import org.arbutusfield.state.StateCache;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.state.StoreWatcher;
import org.arbutusfield.steering.HostRetryBudget;
import org.arbutusfield.steering.LoadPlacement;
import org.arbutusfield.steering.PlacementObserver;
import org.arbutusfield.steering.RouteTableRouter;
import org.arbutusfield.steering.SharedLimits;
import org.arbutusfield.steering.SteeringPlacement;
import org.arbutusfield.steering.UpstreamLoadKnowledge;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.team.TeamDirectory;
import org.arbutusfield.timer.PauseMonitor;
import org.arbutusfield.timer.SystemTimer;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlClient;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlLimits;
import org.arbutusfield.wire.ControlServer;
import org.arbutusfield.wire.PeerAddress;

/** An entry host that uses the platform's store. All its work runs on one event loop. */
public final class EdgeHost implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EdgeHost.class);
    private static final int CONTROL_BODY_BYTES = 4 << 10;
    private static final int MIN_CONNECTIONS = 8;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);
    /** Time from the end of all exchanges to the end of the stop limit: for their last bytes, and the process's end. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(500);
    /**
     * Fraction of the stop limit during which the host still accepts requests of callers that use cached look-up
     * responses.
     */
    private static final double SERVE_WHILE_LEAVING_FRACTION = 0.4;

    private final UpstreamLoadKnowledge loadKnowledge = UpstreamLoadKnowledge.create();
    private final EventLoopGroup group = new NioEventLoopGroup(1, LoopThreads.notifying(this::loopEnded));
    private final EventLoop loop = group.next();
    private final TimerService timer = SystemTimer.on(loop);
    private final UpstreamProbe probe = PortProbe.of(loop, PROBE_TIMEOUT);
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final EdgeProtocol protocol;
    private final ControlHandlers controlHandlers = ControlHandlers.create();
    private ControlClient controlClient;
    private volatile EdgeSettings settings;
    private volatile SteeringState state = SteeringState.empty();
    private volatile ProxyLimits limits;
    private volatile boolean leaving;
    private volatile boolean closing;
    private WatchableStore store;
    private HomePlanner planner;
    private HomeResolver homeResolver;
    private RequestLog log;
    private HostRetryBudget retryBudget;
    private SteeringPlacement placement;
    private RequestQuarantine quarantine;
    private UpstreamReach reach;
    private Leadership leadership;
    private UpstreamQuota quota;
    private ShareClient teamLimiter;
    private TeamPage teamPage;
    private HostRegistrar registrar;
    private StoreWatcher watcher;
    private RestartedUpstreams restarts;
    private ProxyServer proxyServer;

    private EdgeHost(EdgeSettings settings, EdgeProtocol protocol) {
        this.settings = settings;
        this.protocol = protocol;
        this.limits = currentLimits();
    }

    /**
     * Starts a host.
     *
     * @param settings settings of the host
     * @param protocol formats of the data exchanged with callers, upstreams, store and platform
     * @param store creates the client of the store on the host's event loops
     * @return the host, or the reason why it could not start; in that case everything already started has been stopped
     */
    public static Either<Failure, EdgeHost> start(
            EdgeSettings settings, EdgeProtocol protocol, Function<StoreClientContext, WatchableStore> store) {
        EdgeHost host = new EdgeHost(settings, protocol);
        host.store = store.apply(new StoreClientContext(host.group, host.registry, settings));
        Either<Failure, EdgeHost> started = host.startControlChannel()
                .map(EdgeHost::createPlacement)
                .flatMap(EdgeHost::openCallerPort)
                .flatMap(EdgeHost::openEndpoints);
        if (started.isLeft()) {
            host.close();
            return started;
        }
        host.watchStore();
        host.loop.execute(() -> PauseMonitor.start(host.timer));
        LOG.info(
                "event=host_started host={} region={} domain={} callers={}",
                settings.name(),
                settings.region(),
                settings.failureDomain(),
                settings.callerAddress());
        return started;
    }

    /** Returns the timer of the host's event loop. */
    TimerService timer() {
        return timer;
    }

    /** Applies changed settings. Addresses and names keep the values from the start. */
    public void reload(EdgeSettings changed) {
        settings = changed;
        limits = currentLimits();
        LOG.info("event=settings_reloaded host={}", changed.name());
    }

    /**
     * Stops without cutting off requests: deregisters from look-ups, serves callers that still use cached look-up
     * responses, stops accepting connections, waits for running requests, and closes. Each request that was received as
     * a whole is answered before the process ends; see {@link ProxyServer#leave}.
     */
    public void stopGracefully() {
        Duration limit = settings.stopLimit();
        Duration exchangesEnd = atLeastZero(limit.minus(STOP_MARGIN));
        long start = System.nanoTime();
        LOG.info("event=host_leaving host={} limit_ms={}", settings.name(), limit.toMillis());
        leaving = true;
        loop.execute(registrar::leave);
        proxyServer.leave(exchangesEnd);
        sleep(Duration.ofMillis((long) (limit.toMillis() * SERVE_WHILE_LEAVING_FRACTION)));
        Duration sinceStart = Duration.ofNanos(System.nanoTime() - start);
        int unfinished =
                proxyServer.drain(atLeastZero(exchangesEnd.minus(sinceStart))).join();
        LOG.info("event=host_stopped host={} unfinished={}", settings.name(), unfinished);
        close();
    }

    /**
     * Waits until the host is closed, or its event loop has ended by itself.
     *
     * @return false in the latter case; the host can do nothing more then, not even stop gracefully
     */
    public boolean awaitStop() throws InterruptedException {
        stopped.await();
        return closing;
    }

    /** Called on the thread of the event loop, at its end. */
    private void loopEnded() {
        stopped.countDown();
    }

    @Override
    public void close() {
        closing = true;
        if (proxyServer != null) {
            proxyServer.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        stopped.countDown();
    }

    private Either<Failure, EdgeHost> startControlChannel() {
        planner = HomePlanner.create(() -> state, timer);
        ControlHandlers handlers = controlHandlers;
        planner.register(handlers);
        ControlClient client = ControlClient.start(group, timer, ControlLimits.defaults());
        controlClient = client;
        quarantine = RequestQuarantine.start(settings.name(), () -> state, client, store, probe, this::leaves, timer);
        quarantine.register(handlers);
        homeResolver = HomeResolver.start(settings.name(), () -> state, client, planner, loadKnowledge, timer);
        createQuota(client, handlers);
        createTeamLimiter(client, handlers);
        createRestartDetection(client, handlers);
        PeerAddress address = new PeerAddress(
                settings.controlAddress().getHostString(),
                settings.controlAddress().getPort());
        return ControlServer.start(group, address, handlers, ControlLimits.defaults())
                .map(server -> this);
    }

    private void createQuota(ControlClient client, ControlHandlers handlers) {
        leadership = Leadership.start(
                settings.name(),
                () -> Optional.ofNullable(registrar).flatMap(HostRegistrar::held),
                HostRegistrar.LEASE_DURATION,
                store,
                timer);
        HostBroadcast broadcast = HostBroadcast.of(settings.name(), () -> state, client);
        QuotaServer server = QuotaServer.start(leadership, LimitBroadcast.of(broadcast), timer, new SplittableRandom());
        server.register(handlers);
        QuotaClient quotaClient = QuotaClient.create(
                settings.name(), () -> state, client, server, QuotaMetrics.of(registry)::count, timer);
        quotaClient.register(handlers);
        quota = quotaClient;
    }

    /** Creates the limiter of teams. It limits nothing while no team in the configuration has a limit. */
    private void createTeamLimiter(ControlClient client, ControlHandlers handlers) {
        ShareServer server = ShareServer.create(
                leadership,
                () -> ConfiguredTeamLimits.of(state.routes()),
                settings.teamTolerance().orElse(ShareTolerance.NONE),
                () -> state.hosts().stream().map(HostEntry::name).toList(),
                timer,
                new SplittableRandom());
        server.register(handlers);
        teamLimiter = ShareClient.create(
                settings.name(),
                System.currentTimeMillis(),
                () -> state,
                () -> ConfiguredTeamLimits.of(state.routes()),
                client,
                server,
                TeamShareMetrics.of(registry),
                timer);
        teamPage = TeamPage.of(settings.name(), teamLimiter::snapshot, server::snapshot);
    }

    private void createRestartDetection(ControlClient client, ControlHandlers handlers) {
        PortReports reports = PortReports.create(
                settings.name(),
                () -> state,
                client,
                (start, open) -> restarts.portReported(start, open),
                timer,
                new SplittableRandom());
        SilenceEvidence evidence = new SilenceEvidence(
                (address, openedBefore, receivedAfter) ->
                        proxyServer != null && proxyServer.connectionSpans(address, openedBefore, receivedAfter),
                () -> reach != null && !reach.reachesAny(),
                () -> watcher != null && !watcher.storeUnavailable());
        restarts = RestartedUpstreams.create(probe, evidence, reports, timer, this::install);
        reports.register(handlers);
    }

    private EdgeHost createPlacement() {
        Gauge.builder("arbutusfield.requests.quarantined", quarantine, RequestQuarantine::size)
                .description("requests that reach no upstream, because they end those that run them")
                .register(registry);
        log = RequestLog.start(timer, () -> state.routesVersion());
        retryBudget = HostRetryBudget.create(
                settings.retryBudget(), () -> state.hosts().size(), timer);
        reach = UpstreamReach.create(() -> state, probe, timer, new SplittableRandom());
        PeerForwarding forwarding = PeerForwarding.create(
                settings.name(),
                settings.region(),
                settings.capacity(),
                () -> state,
                reach,
                timer,
                new SplittableRandom());
        PlacementObserver placementObserver = LoadMetrics.observing(registry, log);
        placement = SteeringPlacement.create(
                settings.region(),
                () -> state,
                homeResolver,
                new SharedLimits(retryBudget, quota),
                forwarding,
                placementObserver,
                LoadPlacement.create(loadKnowledge, this::teamsConfigured, placementObserver),
                timer);
        return this;
    }

    private Either<Failure, EdgeHost> openCallerPort() {
        ProxyComponents components = new ProxyComponents(
                RouteTableRouter.of(() -> state),
                placement,
                retryBudget,
                IdempotencyGuard.NONE,
                quarantine,
                observer(),
                LocalHandler.NONE,
                KnownHosts.of(() -> state.hosts()),
                () -> limits,
                this::connectionShare,
                protocol.headerNames(),
                () -> state.routes().map(RouteTable::teams).orElseGet(TeamDirectory::empty),
                teamLimiter);
        return ProxyServer.bind(group, settings.callerAddress(), components).map(server -> {
            proxyServer = server;
            Gauge.builder("arbutusfield.buffers.held", server, ProxyServer::bufferedBytes)
                    .baseUnit("bytes")
                    .description("memory held for requests and responses in progress")
                    .register(registry);
            return this;
        });
    }

    private RequestObserver observer() {
        return new CompositeRequestObserver(log, RequestMetrics.of(registry), this::upstreamMayHaveRestarted);
    }

    private Either<Failure, EdgeHost> openEndpoints() {
        EdgeEndpoints endpoints =
                EdgeEndpoints.of(protocol, () -> state, this::ready, () -> settings, registry::scrape, teamPage);
        return listen(settings.readyAddress(), endpoints::ready)
                .flatMap(bound -> listen(settings.lookupAddress(), endpoints::lookup))
                .flatMap(bound -> listen(settings.metricsAddress(), endpoints::metrics))
                .map(bound -> this);
    }

    private Either<Failure, HttpServer> listen(InetSocketAddress address, HttpServer.Handler handler) {
        return HttpServer.bind(group, address, CONTROL_BODY_BYTES, handler);
    }

    private void watchStore() {
        HostEntry self = new HostEntry(
                settings.name(),
                settings.region(),
                settings.failureDomain(),
                Addresses.format(settings.callerAddress()),
                Addresses.format(settings.controlAddress()),
                settings.capacity());
        StateCache cache = StateCache.create(protocol.itemDecoder(), settings.regions());
        HomeStoreWriter.start(planner, () -> state, store, timer);
        StoreHealth health = StoreHealth.create();
        registrar = HostRegistrar.start(store, timer, self, health);
        reach.onChange(() -> registrar.setReachesUpstreams(reach.reachesAny()));
        watcher =
                StoreWatcher.start(store, timer, cache, settings.maxPropagationDelay(), health, restarts::stateChanged);
        PeerConfiguration.start(settings.name(), () -> state, controlClient, watcher, timer, new SplittableRandom())
                .register(controlHandlers);
    }

    /** Finds out whether an upstream has restarted, from the store soon and from its port at once. */
    private void upstreamMayHaveRestarted(InetSocketAddress upstream) {
        restarts.mayHaveRestarted(upstream);
        if (watcher != null) {
            watcher.refreshSoon();
        }
    }

    private void install(SteeringState next) {
        state = next;
        limits = currentLimits();
        leadership.stateChanged(next);
        teamLimiter.stateChanged();
        placement.stateChanged(next);
        registrar.stateChanged(next);
        quarantine.stateChanged(next);
    }

    /** Returns true if the upstream has said that it is about to stop. */
    private boolean leaves(LiveUpstream upstream) {
        return placement.isLeaving(upstream);
    }

    /** Returns whether the configuration has teams, which activates placement by load. */
    private boolean teamsConfigured() {
        return state.routes().map(routes -> !routes.teams().isEmpty()).orElse(false);
    }

    private boolean ready() {
        return !leaving && state.routes().isPresent();
    }

    private ProxyLimits currentLimits() {
        return EdgeProxyLimits.of(settings, state.routes().map(RouteTable::limits));
    }

    private int connectionShare(Upstream upstream) {
        int hosts = Math.max(settings.retryBudget().minHosts(), state.hosts().size());
        return Math.max(MIN_CONNECTIONS, upstream.connections() / hosts);
    }

    private static Duration atLeastZero(Duration time) {
        return time.isNegative() ? Duration.ZERO : time;
    }

    private static void sleep(Duration time) {
        try {
            TimeUnit.NANOSECONDS.sleep(time.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
