package org.arbutusfield.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.claim.ClaimService;
import org.arbutusfield.claim.ClaimSettings;
import org.arbutusfield.dispatch.DispatchComponents;
import org.arbutusfield.dispatch.HostIdentity;
import org.arbutusfield.distribution.ControlPlane;
import org.arbutusfield.distribution.ControlPlaneSettings;
import org.arbutusfield.distribution.LeaderSettings;
import org.arbutusfield.distribution.PlatformServices;
import org.arbutusfield.distribution.RevisionId;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.distribution.StoreRepair;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.http.HttpServer;
import org.arbutusfield.lookup.LookupPolicy;
import org.arbutusfield.member.HostListSource;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.observe.RequestMeter;
import org.arbutusfield.proxy.ProxyComponents;
import org.arbutusfield.proxy.ProxyLimits;
import org.arbutusfield.proxy.ProxyServer;
import org.arbutusfield.settings.HostSettings;
import org.arbutusfield.store.HttpStore;
import org.arbutusfield.store.Store;
import org.arbutusfield.timer.SystemTimer;
import org.arbutusfield.wire.ControlLimits;
import org.arbutusfield.wire.PeerAddress;

/** An entry host: starts its components, connects them and stops them in order. */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Daemon.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HOST_LIST_INTERVAL = Duration.ofSeconds(5);
    private static final int MAX_ADMIN_REQUEST_BYTES = 1 << 20;

    private final HostSettings settings;
    private final HostIdentity self;
    private final SystemTimer timer = SystemTimer.start();
    private final EventLoopGroup group;
    private final ConfigurationInForce activeConfiguration = ConfigurationInForce.create();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final RequestMeter meter;
    private volatile boolean leaving;
    private Store store;
    private ControlPlane control;
    private DispatchComponents dispatch;
    private ProxyServer proxyServer;
    private HttpServer admin;

    private Daemon(HostSettings settings) {
        this.settings = settings;
        this.group = new NioEventLoopGroup(settings.eventLoops());
        this.self = new HostIdentity(
                settings.name(), System.currentTimeMillis(), settings.region(), settings.failureDomain());
        this.meter = RequestMeter.create(
                self.name(), self.incarnation(), self.region(), registry, activeConfiguration::configuration, timer);
    }

    /** Starts a host. If a component fails to start, the others are closed and the failure is returned. */
    public static Either<Failure, Daemon> start(HostSettings settings) {
        Daemon daemon = new Daemon(settings);
        Either<Failure, Daemon> started = daemon.startControlPlane()
                .map(Daemon::startDispatch)
                .map(Daemon::subscribeToConfiguration)
                .flatMap(Daemon::openCallerPort)
                .flatMap(Daemon::openAdminPort);
        if (started.isLeft()) {
            daemon.close();
            return started;
        }
        LOG.info("event=host_started host={} region={}", settings.name(), settings.region());
        return started;
    }

    /**
     * Stops without interrupting requests that finish within the drain limit: leaves the membership so that look-ups
     * and brokers no longer name this host, keeps serving while callers may use cached look-up responses, then stops
     * accepting connections, waits for running requests and closes.
     */
    public void stopGracefully() {
        leaving = true;
        LOG.info("event=host_leaving host={}", settings.name());
        control.leave();
        proxyServer.leave(lookupCacheLifetime().plus(settings.drainLimit()));
        pause(lookupCacheLifetime());
        int unfinished = proxyServer.drain(settings.drainLimit()).join();
        LOG.info("event=host_stopped host={} unfinished={}", settings.name(), unfinished);
        close();
    }

    /** Blocks until the host is closed. */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    @Override
    public void close() {
        closeAll(admin, proxyServer, dispatch, control);
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        stopped.countDown();
    }

    /** Returns how long callers may still use a cached look-up response that names this host. */
    private Duration lookupCacheLifetime() {
        Duration maxResponseAge = Duration.ofSeconds(LookupPolicy.MAX_AGE_SECONDS);
        return maxResponseAge.compareTo(settings.lookupMaxAge()) > 0 ? maxResponseAge : settings.lookupMaxAge();
    }

    private Either<Failure, Daemon> startControlPlane() {
        store = HttpStore.create(
                HttpClient.create(group, CONNECT_TIMEOUT), settings.storeAddress(), settings.storeTimeout());
        PlatformServices platform = new PlatformServices(
                store,
                StoreConfigurationSource.of(store),
                StoreRepair.none(),
                HostListSource.none(),
                activeConfiguration::check);
        MembershipSettings membership =
                new MembershipSettings(member(), seeds(), MembershipLimits.defaults(), HOST_LIST_INTERVAL);
        ControlPlaneSettings plane =
                new ControlPlaneSettings(membership, ControlLimits.defaults(), LeaderSettings.defaults());
        return ControlPlane.start(plane, platform, group, timer).map(started -> {
            control = started;
            return this;
        });
    }

    private Daemon startDispatch() {
        dispatch = DispatchComponents.start(self, timer, control.handlers(), control.client(), control.membership());
        return this;
    }

    private Daemon subscribeToConfiguration() {
        control.running().subscribe(snapshot -> activeConfiguration.install(snapshot, dispatch));
        return this;
    }

    private Either<Failure, Daemon> openCallerPort() {
        ProxyComponents components = ProxyComponents.of(settings.region(), activeConfiguration::configuration)
                .withPlacement(dispatch.placement(activeConfiguration::configuration))
                .withLimits(
                        ProxyLimits.defaults().withHost(settings.maxCallerConnections(), settings.maxBufferedBytes()))
                .withRetryLimiter(dispatch.retries())
                .withIdempotencyGuard(claims())
                .withObserver(meter)
                .withLocalHandler(dispatch.lookupHandler())
                .withPeers(dispatch::isHost);
        return ProxyServer.bind(group, settings.callerAddress(), components).map(server -> {
            proxyServer = server;
            return this;
        });
    }

    private Either<Failure, Daemon> openAdminPort() {
        AdminHandler handler =
                AdminHandler.of(this::status, () -> control.membership().view().alive(), meter::burn, registry::scrape);
        return HttpServer.bind(group, settings.adminAddress(), MAX_ADMIN_REQUEST_BYTES, handler)
                .map(server -> {
                    admin = server;
                    return this;
                });
    }

    private ClaimService claims() {
        String holder = self.name() + "/" + self.incarnation();
        return ClaimService.create(
                store, timer, () -> System.currentTimeMillis() / 1000, holder, ClaimSettings.defaults());
    }

    private HostStatus status() {
        RevisionId root = control.running().current().map(Snapshot::revisionId).orElseGet(() -> new RevisionId(0, ""));
        return new HostStatus(
                settings.name(),
                leaving ? "leaving" : "serving",
                settings.region(),
                settings.failureDomain(),
                self.incarnation(),
                root.revision(),
                root.digest(),
                proxyServer.inFlight(),
                control.membership().view().alive().size(),
                control.leader().holdsLease(),
                dispatch.admissionService().status());
    }

    private Member member() {
        return new Member(
                settings.name(),
                settings.region(),
                settings.failureDomain(),
                settings.callerAddress().getHostString(),
                settings.callerAddress().getPort(),
                settings.controlAddress().getPort(),
                self.incarnation(),
                MemberState.ALIVE);
    }

    private List<PeerAddress> seeds() {
        return settings.seeds().stream().map(Daemon::peer).toList();
    }

    private static PeerAddress peer(InetSocketAddress address) {
        return new PeerAddress(address.getHostString(), address.getPort());
    }

    private static void closeAll(AutoCloseable... parts) {
        for (AutoCloseable part : parts) {
            close(part);
        }
    }

    private static void close(AutoCloseable part) {
        if (part == null) {
            return;
        }
        try {
            part.close();
        } catch (Exception e) {
            LOG.error("event=close_failed part={}", part.getClass().getSimpleName(), e);
        }
    }

    private static void pause(Duration time) {
        try {
            TimeUnit.NANOSECONDS.sleep(time.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
