package org.arbutusfield.lab.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusfield.lab.platform.KeyValueContent;
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.lab.platform.KeyValueStandIn.FaultMode;
import org.arbutusfield.lab.soak.Violation.Guarantee;
import org.arbutusfield.timer.SystemTimer;

/**
 * One run of the soak test: starts a store, upstreams behind fault proxies, edge hosts as processes, and callers;
 * injects the faults that the seed determines; lets the system recover; stops all hosts gracefully; and reports the
 * violated guarantees.
 *
 * <p>The same seed gives the same faults and requests. Their interleaving differs between runs, since the hosts are
 * real processes.
 */
public final class Soak implements AutoCloseable {
    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(8);
    private static final Duration RECOVERY_CHECK = Duration.ofSeconds(3);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(6);
    private static final Duration RESTART_DELAY = Duration.ofMillis(300);
    /** Time for which the store is away before it returns from a copy. */
    private static final Duration STORE_RETURN_TIME = Duration.ofMillis(400);
    /** Time after which the writers of a store that has lost content write it again. */
    private static final Duration WRITE_AGAIN_DELAY = Duration.ofMillis(700);

    private static final Duration DRAIN_TIME = Duration.ofMillis(2300);
    private static final Duration CRASHED_ENTRY_STAYS = Duration.ofMillis(1500);
    private static final double MIN_SERVED_SHARE = 0.9;
    private static final String STOP_SIGNAL = "TERM";
    /** 128 plus the number of the signal. */
    private static final int SIGTERM_EXIT_STATUS = 143;

    private static final int SIGHUP_EXIT_STATUS = 129;

    private final SoakPlan plan;
    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final Disruptions disruptions = Disruptions.none();
    private final SoakChecker checker = SoakChecker.of(disruptions);
    private final SoakCounters counters = SoakCounters.create();
    private final List<SoakHost> hosts = new CopyOnWriteArrayList<>();
    private final List<SoakUpstream> upstreams = new ArrayList<>();
    /** All upstreams, also those that have left; guarded by the list of the present ones. */
    private final List<SoakUpstream> startedUpstreams = new ArrayList<>();

    private final List<SoakCaller> callers = new ArrayList<>();
    private final List<Thread> callerThreads = new ArrayList<>();
    private final List<Thread> faultThreads = new ArrayList<>();
    private final AtomicInteger upstreamNumbers = new AtomicInteger();
    private final KeyValueStandIn store;
    private final SoakRoutes routes;

    private Soak(SoakPlan plan) {
        this.plan = plan;
        store = KeyValueStandIn.bind(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), timer)
                .get();
        routes = SoakRoutes.of(store.content());
    }

    /**
     * Runs the soak test once.
     *
     * @param plan size and seed
     * @param directory directory for the settings and logs of the hosts
     * @return the result
     */
    public static SoakReport run(SoakPlan plan, Path directory) throws IOException, InterruptedException {
        try (Soak soak = new Soak(plan)) {
            // An interrupted run must not leave processes behind.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> soak.hosts.forEach(SoakHost::destroy), "soak-end"));
            soak.startAll(directory);
            soak.injectFaults();
            soak.checkRecovery();
            soak.stopAll();
            return new SoakReport(
                    soak.checker.requests(),
                    soak.counters.servedCount(),
                    soak.counters.closeFailureCount(),
                    soak.checker.crashes(),
                    soak.checker.violations());
        }
    }

    @Override
    public void close() {
        callers.forEach(SoakCaller::stop);
        hosts.forEach(SoakHost::destroy);
        store.close();
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void startAll(Path directory) throws IOException, InterruptedException {
        routes.publishNext();
        for (int i = 0; i < plan.upstreams(); i++) {
            upstreams.add(startUpstream());
        }
        for (int i = 0; i < plan.hosts(); i++) {
            SoakHost host = SoakHost.prepare(i, FaultProxy.start(group, store.address()), directory);
            hosts.add(host);
            host.start();
        }
        awaitHosts();
        SoakCaller.SharedState shared =
                new SoakCaller.SharedState(List.copyOf(hosts), checker, routes, counters, new ConcurrentHashMap<>());
        for (int i = 0; i < plan.callers(); i++) {
            SoakCaller caller = SoakCaller.of(i, shared, plan.seed());
            callers.add(caller);
            Thread thread = new Thread(caller, "caller-" + i);
            callerThreads.add(thread);
            thread.start();
        }
    }

    private SoakUpstream startUpstream() {
        int number = upstreamNumbers.incrementAndGet();
        String domain = number % 2 == 0 ? "east-a" : "west-a";
        SoakUpstream upstream =
                SoakUpstream.start("u-" + number, domain, checker, store.content(), timer, group, this::replaceCrashed);
        synchronized (upstreams) {
            startedUpstreams.add(upstream);
        }
        return upstream;
    }

    private void awaitHosts() throws InterruptedException {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (store.content().list("hosts/", "", plan.hosts()).size() < plan.hosts() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private void injectFaults() throws InterruptedException {
        long start = System.nanoTime();
        for (SoakFault fault : SoakFault.generate(new Random(plan.seed()), plan)) {
            long wait = start + fault.at().toNanos() - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
            Thread thread = new Thread(() -> inject(fault), "fault");
            faultThreads.add(thread);
            thread.start();
        }
        for (Thread fault : faultThreads) {
            fault.join();
        }
    }

    private void inject(SoakFault fault) {
        SoakHost host = hosts.get(fault.target() % hosts.size());
        try {
            switch (fault.kind()) {
                case STORE_DELAY -> disturbStoreLink(host, LinkMode.DELAY, fault);
                case STORE_RESET -> disturbStoreLink(host, LinkMode.RESET, fault);
                case STORE_ONE_WAY -> disturbStoreLink(host, LinkMode.ONE_WAY, fault);
                case STORE_SILENT -> disturbStoreLink(host, LinkMode.SILENT, fault);
                case STORE_BUSY -> disturbStore(FaultMode.UNAVAILABLE, fault);
                case STORE_LOST_ANSWERS -> disturbStore(FaultMode.LOST_RESPONSES, fault);
                case STORE_DEAF -> disturbStore(FaultMode.SILENT_WATCHES, fault);
                case STORE_COMPACT -> store.content().compact();
                case UPSTREAM_DELAY -> disturbUpstreamLink(LinkMode.DELAY, fault);
                case UPSTREAM_RESET -> disturbUpstreamLink(LinkMode.RESET, fault);
                case UPSTREAM_ONE_WAY -> disturbUpstreamLink(LinkMode.ONE_WAY, fault);
                case UPSTREAM_SILENT -> disturbUpstreamLink(LinkMode.SILENT, fault);
                case UPSTREAM_SHED -> shed(fault);
                case UPSTREAM_REPLACE -> replace(fault);
                case HOST_KILL -> kill(host);
                case HOST_STOP -> stopAndStart(host);
                case HOST_PAUSE -> pause(host, fault);
                case HOST_RELOAD -> reload(host);
                case ROUTES_CHANGE -> routes.publishNext();
                case STORE_ROLL_BACK -> rollBackStore(fault);
                case CRASHING_REQUEST -> sendCrashingRequest(fault);
                default -> throw new IllegalStateException(fault.toString());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            checker.recordViolation(Guarantee.ALIVE, host.name(), "fault " + fault + " not injected: " + e);
        }
    }

    private static void awaitFaultEnd(SoakFault fault) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(fault.length().toNanos());
    }

    private void disturbStoreLink(SoakHost host, LinkMode mode, SoakFault fault) throws InterruptedException {
        Runnable end = disruptions.begin(host.name());
        host.storeLink().mode(mode);
        awaitFaultEnd(fault);
        host.storeLink().mode(LinkMode.RESET);
        host.storeLink().mode(LinkMode.PASS);
        end.run();
    }

    private void disturbStore(FaultMode mode, SoakFault fault) throws InterruptedException {
        Runnable end = disruptions.begin(Disruptions.STORE);
        store.faultMode(mode);
        awaitFaultEnd(fault);
        store.faultMode(FaultMode.NONE);
        end.run();
    }

    private void rollBackStore(SoakFault fault) throws InterruptedException {
        KeyValueContent.Copy copy = store.content().copy();
        awaitFaultEnd(fault);
        Runnable end = disruptions.begin(Disruptions.STORE);
        store.faultMode(FaultMode.UNAVAILABLE);
        TimeUnit.NANOSECONDS.sleep(STORE_RETURN_TIME.toNanos());
        store.content().rollBack(copy);
        store.faultMode(FaultMode.NONE);
        TimeUnit.NANOSECONDS.sleep(WRITE_AGAIN_DELAY.toNanos());
        routes.writeAgain();
        List<SoakUpstream> writers;
        synchronized (upstreams) {
            writers = List.copyOf(startedUpstreams);
        }
        writers.forEach(SoakUpstream::writeAgain);
        end.run();
    }

    private SoakUpstream upstream(SoakFault fault) {
        synchronized (upstreams) {
            return upstreams.get(fault.target() % upstreams.size());
        }
    }

    private void disturbUpstreamLink(LinkMode mode, SoakFault fault) throws InterruptedException {
        Runnable end = disruptions.begin(Disruptions.UPSTREAMS);
        FaultProxy proxy = upstream(fault).proxy();
        proxy.mode(mode);
        awaitFaultEnd(fault);
        proxy.mode(LinkMode.RESET);
        proxy.mode(LinkMode.PASS);
        end.run();
    }

    private void shed(SoakFault fault) throws InterruptedException {
        SoakUpstream upstream = upstream(fault);
        upstream.shedding(true);
        awaitFaultEnd(fault);
        upstream.shedding(false);
    }

    private void replace(SoakFault fault) throws InterruptedException {
        SoakUpstream leaving;
        synchronized (upstreams) {
            leaving = upstreams.remove(fault.target() % upstreams.size());
            upstreams.add(startUpstream());
        }
        leaving.drain();
        TimeUnit.NANOSECONDS.sleep(DRAIN_TIME.plus(fault.length()).toNanos());
        Runnable end = disruptions.begin(Disruptions.UPSTREAMS);
        leaving.deregister();
        end.run();
    }

    private void sendCrashingRequest(SoakFault fault) throws InterruptedException {
        CrashingCaller.of(List.copyOf(hosts), checker, new Random(plan.seed()))
                .sendUntil(System.nanoTime() + fault.length().toNanos());
    }

    /** Starts another upstream for one that has crashed, whose entry stays until the store notices its silence. */
    private void replaceCrashed(SoakUpstream crashed) {
        Runnable end = disruptions.begin(Disruptions.UPSTREAMS);
        synchronized (upstreams) {
            if (upstreams.remove(crashed)) {
                upstreams.add(startUpstream());
            }
        }
        timer.after(CRASHED_ENTRY_STAYS, () -> {
            crashed.deregister();
            end.run();
        });
    }

    private void kill(SoakHost host) throws IOException, InterruptedException {
        synchronized (host) {
            Runnable end = disruptions.begin(host.name());
            host.signal("KILL");
            host.awaitExit(STOP_LIMIT);
            TimeUnit.NANOSECONDS.sleep(RESTART_DELAY.toNanos());
            host.start();
            end.run();
        }
    }

    /** The stop is not recorded as a disruption of the host, since a graceful stop must not cut any request short. */
    private void stopAndStart(SoakHost host) throws IOException, InterruptedException {
        synchronized (host) {
            host.signal(STOP_SIGNAL);
            checkExit(host);
            TimeUnit.NANOSECONDS.sleep(RESTART_DELAY.toNanos());
            Runnable end = disruptions.begin(host.name());
            host.start();
            end.run();
        }
    }

    /**
     * A process that receives the signal before it handles signals exits. It is then restarted, as the platform would
     * do.
     */
    private void reload(SoakHost host) throws IOException, InterruptedException {
        synchronized (host) {
            host.signal("HUP");
            boolean ended = host.awaitExit(RESTART_DELAY) == SIGHUP_EXIT_STATUS;
            if (ended && !host.handlesSignals()) {
                Runnable end = disruptions.begin(host.name());
                host.start();
                end.run();
            }
        }
    }

    private void pause(SoakHost host, SoakFault fault) throws IOException, InterruptedException {
        synchronized (host) {
            Runnable end = disruptions.begin(host.name());
            host.signal("STOP");
            awaitFaultEnd(fault);
            host.signal("CONT");
            end.run();
        }
    }

    /**
     * A process that is stopped before it handles signals exits with the status of the signal; it has served no
     * requests.
     */
    private void checkExit(SoakHost host) throws IOException, InterruptedException {
        int status = host.awaitExit(STOP_LIMIT);
        boolean beforeHandlers = status == SIGTERM_EXIT_STATUS && !host.handlesSignals();
        if (status != 0 && !beforeHandlers) {
            checker.recordViolation(Guarantee.GRACEFUL_STOP, host.name(), "exit status " + status);
        }
    }

    private void checkRecovery() throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(RECOVERY_TIME.toNanos());
        int sent = counters.sentCount();
        int served = counters.servedCount();
        TimeUnit.NANOSECONDS.sleep(RECOVERY_CHECK.toNanos());
        int newlySent = counters.sentCount() - sent;
        int newlyServed = counters.servedCount() - served;
        if (newlySent == 0 || newlyServed < MIN_SERVED_SHARE * newlySent) {
            checker.recordViolation(
                    Guarantee.RECOVERED, "all", newlyServed + " of " + newlySent + " served at the end");
        }
        for (SoakHost host : hosts) {
            if (!host.alive()) {
                checker.recordViolation(Guarantee.ALIVE, host.name(), "not running");
            }
        }
    }

    private void stopAll() throws IOException, InterruptedException {
        callers.forEach(SoakCaller::stop);
        for (Thread thread : callerThreads) {
            thread.join();
        }
        for (SoakHost host : hosts) {
            host.signal(STOP_SIGNAL);
        }
        for (SoakHost host : hosts) {
            checkExit(host);
        }
    }
}
