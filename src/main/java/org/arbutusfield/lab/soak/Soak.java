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
import org.arbutusfield.lab.platform.KeyValueStandIn;
import org.arbutusfield.lab.platform.KeyValueStandIn.StoreTrouble;
import org.arbutusfield.lab.soak.Violation.Promise;
import org.arbutusfield.timer.SystemTimer;

/**
 * One run: starts a store, upstreams behind fault proxies, edge hosts as processes and callers; injects the faults that
 * the seed draws; lets the system recover; stops all hosts gracefully; and tells which promises were broken.
 *
 * <p>The same seed draws the same faults and requests. How they meet differs between runs, since real processes run.
 */
public final class Soak implements AutoCloseable {
    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final Duration RECOVERY = Duration.ofSeconds(8);
    private static final Duration CHECKED_END = Duration.ofSeconds(3);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(6);
    private static final Duration DOWN = Duration.ofMillis(300);
    private static final Duration DRAIN = Duration.ofMillis(2300);
    private static final double SERVED_AGAIN = 0.9;
    private static final String STOP_SIGNAL = "TERM";
    /** 128 and the number of the signal. */
    private static final int ENDED_BY_STOP_SIGNAL = 143;

    private static final int ENDED_BY_RELOAD_SIGNAL = 129;

    private final SoakPlan plan;
    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final Disruptions disruptions = Disruptions.none();
    private final SoakLedger ledger = SoakLedger.of(disruptions);
    private final SoakTally tally = SoakTally.create();
    private final List<SoakHost> hosts = new CopyOnWriteArrayList<>();
    private final List<SoakUpstream> upstreams = new ArrayList<>();
    private final List<SoakCaller> callers = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final List<Thread> faults = new ArrayList<>();
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
     * Runs once.
     *
     * @param plan size and seed
     * @param directory gets the settings and logs of the hosts
     * @return what was seen
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
                    soak.ledger.requests(),
                    soak.tally.servedSoFar(),
                    soak.tally.closeFailuresSoFar(),
                    soak.ledger.violations());
        }
    }

    @Override
    public void close() {
        callers.forEach(SoakCaller::end);
        hosts.forEach(SoakHost::destroy);
        store.close();
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void startAll(Path directory) throws IOException, InterruptedException {
        routes.change();
        for (int i = 0; i < plan.upstreams(); i++) {
            upstreams.add(startUpstream());
        }
        for (int i = 0; i < plan.hosts(); i++) {
            SoakHost host = SoakHost.prepare(i, FaultProxy.start(group, store.address()), directory);
            hosts.add(host);
            host.start();
        }
        awaitHosts();
        SoakCaller.SoakRun run =
                new SoakCaller.SoakRun(List.copyOf(hosts), ledger, routes, tally, new ConcurrentHashMap<>());
        for (int i = 0; i < plan.callers(); i++) {
            SoakCaller caller = SoakCaller.of(i, run, plan.seed());
            callers.add(caller);
            Thread thread = new Thread(caller, "caller-" + i);
            threads.add(thread);
            thread.start();
        }
    }

    private SoakUpstream startUpstream() {
        int number = upstreamNumbers.incrementAndGet();
        String domain = number % 2 == 0 ? "east-a" : "west-a";
        return SoakUpstream.start("u-" + number, domain, ledger, store.content(), timer, group);
    }

    private void awaitHosts() throws InterruptedException {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (store.content().list("hosts/", "", plan.hosts()).size() < plan.hosts() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private void injectFaults() throws InterruptedException {
        long start = System.nanoTime();
        for (SoakFault fault : SoakFault.draw(new Random(plan.seed()), plan)) {
            long wait = start + fault.at().toNanos() - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
            Thread thread = new Thread(() -> inject(fault), "fault");
            faults.add(thread);
            thread.start();
        }
        for (Thread fault : faults) {
            fault.join();
        }
    }

    private void inject(SoakFault fault) {
        SoakHost host = hosts.get(fault.target() % hosts.size());
        try {
            switch (fault.kind()) {
                case STORE_DELAY -> harmStoreLink(host, LinkMode.DELAY, fault);
                case STORE_RESET -> harmStoreLink(host, LinkMode.RESET, fault);
                case STORE_ONE_WAY -> harmStoreLink(host, LinkMode.ONE_WAY, fault);
                case STORE_SILENT -> harmStoreLink(host, LinkMode.SILENT, fault);
                case STORE_BUSY -> harmStore(StoreTrouble.BUSY, fault);
                case STORE_LOST_ANSWERS -> harmStore(StoreTrouble.LOST_ANSWERS, fault);
                case STORE_DEAF -> harmStore(StoreTrouble.DEAF_WATCHES, fault);
                case STORE_COMPACT -> store.content().compact();
                case UPSTREAM_DELAY -> harmUpstreamLink(LinkMode.DELAY, fault);
                case UPSTREAM_RESET -> harmUpstreamLink(LinkMode.RESET, fault);
                case UPSTREAM_ONE_WAY -> harmUpstreamLink(LinkMode.ONE_WAY, fault);
                case UPSTREAM_SILENT -> harmUpstreamLink(LinkMode.SILENT, fault);
                case UPSTREAM_SHED -> shed(fault);
                case UPSTREAM_REPLACE -> replace(fault);
                case HOST_KILL -> kill(host);
                case HOST_STOP -> stopAndStart(host);
                case HOST_PAUSE -> pause(host, fault);
                case HOST_RELOAD -> reload(host);
                case ROUTES_CHANGE -> routes.change();
                default -> throw new IllegalStateException(fault.toString());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            ledger.broken(Promise.ALIVE, host.name(), "fault " + fault + " not injected: " + e);
        }
    }

    private static void hold(SoakFault fault) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(fault.length().toNanos());
    }

    private void harmStoreLink(SoakHost host, LinkMode mode, SoakFault fault) throws InterruptedException {
        Runnable over = disruptions.begin(host.name());
        host.storeLink().mode(mode);
        hold(fault);
        host.storeLink().mode(LinkMode.RESET);
        host.storeLink().mode(LinkMode.PASS);
        over.run();
    }

    private void harmStore(StoreTrouble trouble, SoakFault fault) throws InterruptedException {
        Runnable over = disruptions.begin(Disruptions.STORE);
        store.trouble(trouble);
        hold(fault);
        store.trouble(StoreTrouble.NONE);
        over.run();
    }

    private SoakUpstream upstream(SoakFault fault) {
        synchronized (upstreams) {
            return upstreams.get(fault.target() % upstreams.size());
        }
    }

    private void harmUpstreamLink(LinkMode mode, SoakFault fault) throws InterruptedException {
        Runnable over = disruptions.begin(Disruptions.UPSTREAMS);
        FaultProxy proxy = upstream(fault).proxy();
        proxy.mode(mode);
        hold(fault);
        proxy.mode(LinkMode.RESET);
        proxy.mode(LinkMode.PASS);
        over.run();
    }

    private void shed(SoakFault fault) throws InterruptedException {
        SoakUpstream upstream = upstream(fault);
        upstream.shedding(true);
        hold(fault);
        upstream.shedding(false);
    }

    private void replace(SoakFault fault) throws InterruptedException {
        SoakUpstream leaving;
        synchronized (upstreams) {
            leaving = upstreams.remove(fault.target() % upstreams.size());
            upstreams.add(startUpstream());
        }
        leaving.drain();
        TimeUnit.NANOSECONDS.sleep(DRAIN.plus(fault.length()).toNanos());
        Runnable over = disruptions.begin(Disruptions.UPSTREAMS);
        leaving.leave();
        over.run();
    }

    private void kill(SoakHost host) throws IOException, InterruptedException {
        synchronized (host) {
            Runnable over = disruptions.begin(host.name());
            host.signal("KILL");
            host.awaitEnd(STOP_LIMIT);
            TimeUnit.NANOSECONDS.sleep(DOWN.toNanos());
            host.start();
            over.run();
        }
    }

    /** No disruption of the host is noted, since a graceful stop must cut nothing short. */
    private void stopAndStart(SoakHost host) throws IOException, InterruptedException {
        synchronized (host) {
            host.signal(STOP_SIGNAL);
            checkEnd(host);
            TimeUnit.NANOSECONDS.sleep(DOWN.toNanos());
            Runnable over = disruptions.begin(host.name());
            host.start();
            over.run();
        }
    }

    /** A process that gets the signal before its program runs ends, and is started again as the platform would. */
    private void reload(SoakHost host) throws IOException, InterruptedException {
        synchronized (host) {
            host.signal("HUP");
            boolean ended = host.awaitEnd(DOWN) == ENDED_BY_RELOAD_SIGNAL;
            if (ended && !host.handlesSignals()) {
                Runnable over = disruptions.begin(host.name());
                host.start();
                over.run();
            }
        }
    }

    private void pause(SoakHost host, SoakFault fault) throws IOException, InterruptedException {
        synchronized (host) {
            Runnable over = disruptions.begin(host.name());
            host.signal("STOP");
            hold(fault);
            host.signal("CONT");
            over.run();
        }
    }

    /** A process that is stopped before its program runs ends with the status of the signal; it has served nobody. */
    private void checkEnd(SoakHost host) throws IOException, InterruptedException {
        int status = host.awaitEnd(STOP_LIMIT);
        boolean tooEarly = status == ENDED_BY_STOP_SIGNAL && !host.handlesSignals();
        if (status != 0 && !tooEarly) {
            ledger.broken(Promise.GRACEFUL_STOP, host.name(), "exit status " + status);
        }
    }

    private void checkRecovery() throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(RECOVERY.toNanos());
        int sent = tally.sentSoFar();
        int served = tally.servedSoFar();
        TimeUnit.NANOSECONDS.sleep(CHECKED_END.toNanos());
        int newlySent = tally.sentSoFar() - sent;
        int newlyServed = tally.servedSoFar() - served;
        if (newlySent == 0 || newlyServed < SERVED_AGAIN * newlySent) {
            ledger.broken(Promise.RECOVERED, "all", newlyServed + " of " + newlySent + " served at the end");
        }
        for (SoakHost host : hosts) {
            if (!host.alive()) {
                ledger.broken(Promise.ALIVE, host.name(), "not running");
            }
        }
    }

    private void stopAll() throws IOException, InterruptedException {
        callers.forEach(SoakCaller::end);
        for (Thread thread : threads) {
            thread.join();
        }
        for (SoakHost host : hosts) {
            host.signal(STOP_SIGNAL);
        }
        for (SoakHost host : hosts) {
            checkEnd(host);
        }
    }
}
