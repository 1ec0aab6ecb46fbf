package org.arbutusfield.lab.proxy;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.arbutusfield.lab.UpstreamStandIn;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.FailureDomain;
import org.arbutusfield.model.Region;
import org.arbutusfield.model.RequestClass;
import org.arbutusfield.model.Service;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.ProxyServer;
import org.arbutusfield.timer.SystemTimer;

/**
 * Measures the latency that one hop through a proxy server adds, compared with direct calls to the same upstream
 * stand-ins in the same run.
 *
 * <p>Usage: {@code HopBenchmark SECONDS [RATE]}. Open-loop callers send {@code RATE} requests per second in total. The
 * default is half of the rate that closed-loop callers reach through the proxy just before. Latency is measured from
 * the time at which a request was due. Direct and proxied calls alternate in slices of one second, so that both run
 * under the same load of the machine.
 */
public final class HopBenchmark {
    private static final int CALLERS = 16;
    private static final int SERVERS = 4;
    private static final int SLOTS = 64;
    private static final long SLICE_NANOS = 1_000_000_000L;
    private static final long MAX_LATENCY_NANOS = 10_000_000_000L;
    private static final int WARM_UP_SLICES = 5;
    private static final int MEGABYTE = 1 << 20;

    private final NioEventLoopGroup upstreamLoops = new NioEventLoopGroup(2);
    private final NioEventLoopGroup proxyLoops = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private final AtomicInteger failures = new AtomicInteger();
    private final ProxyServer proxy;

    private HopBenchmark() {
        List<Entity> items = new ArrayList<>(List.of(
                new Region("gulf", 1),
                new FailureDomain("gulf-a", "gulf"),
                new Service(
                        "desk",
                        1,
                        1,
                        0,
                        List.of(new RequestClass("all", List.of(), "", true, true, 5_000)),
                        List.of())));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        for (int i = 0; i < SERVERS; i++) {
            UpstreamStandIn server = UpstreamStandIn.bind(upstreamLoops, any, "u" + i, SLOTS, Duration.ZERO, timer)
                    .get();
            servers.add(server.address());
            items.add(new Upstream(
                    "u" + i, "desk", "gulf-a", "127.0.0.1", server.address().getPort(), SLOTS, SLOTS * 2));
        }
        Configuration configuration = Configuration.of(1, "n", items);
        proxy = ProxyServer.bind(proxyLoops, any, "gulf", () -> configuration).get();
    }

    /** Runs the measurement and prints a table. */
    public static void main(String[] args) {
        int seconds = Integer.parseInt(args[0]);
        HopBenchmark benchmark = new HopBenchmark();
        double maxRate = 0;
        for (int i = 0; i < WARM_UP_SLICES; i++) {
            maxRate = benchmark.closedLoop();
        }
        double rate = args.length > 1 ? Double.parseDouble(args[1]) : maxRate / 2;
        benchmark.openLoop(true, rate);
        benchmark.openLoop(false, rate);
        long heapBefore = usedHeap();
        Histogram direct = new Histogram(MAX_LATENCY_NANOS, 3);
        Histogram hop = new Histogram(MAX_LATENCY_NANOS, 3);
        for (int i = 0; i < seconds; i += 2) {
            direct.add(benchmark.openLoop(false, rate));
            hop.add(benchmark.openLoop(true, rate));
        }
        long heapAfter = usedHeap();
        System.out.printf(Locale.ROOT, "closed loop through the hop: %.0f requests/s%n", maxRate);
        System.out.printf(Locale.ROOT, "open loop: %.0f requests/s, failures %d%n", rate, benchmark.failures.get());
        for (double percentile : new double[] {50, 99, 99.9}) {
            double directMillis = direct.getValueAtPercentile(percentile) / 1e6;
            double hopMillis = hop.getValueAtPercentile(percentile) / 1e6;
            System.out.printf(
                    Locale.ROOT,
                    "p%s direct %.3f ms, hop %.3f ms, added %.3f ms%n",
                    percentile,
                    directMillis,
                    hopMillis,
                    hopMillis - directMillis);
        }
        System.out.printf(
                Locale.ROOT,
                "samples %d and %d; used heap after collection %d kB before, %d kB after%n",
                direct.getTotalCount(),
                hop.getTotalCount(),
                heapBefore / 1024,
                heapAfter / 1024);
        System.exit(0);
    }

    private double closedLoop() {
        long end = System.nanoTime() + SLICE_NANOS;
        List<CompletableFuture<Long>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(start(i, true, 0, end).thenApply(Histogram::getTotalCount));
        }
        long count = callers.stream().mapToLong(CompletableFuture::join).sum();
        return count * 1e9 / SLICE_NANOS;
    }

    private Histogram openLoop(boolean hop, double rate) {
        long end = System.nanoTime() + SLICE_NANOS;
        long gap = (long) (CALLERS * 1e9 / rate);
        List<CompletableFuture<Histogram>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(start(i, hop, gap, end));
        }
        Histogram all = new Histogram(MAX_LATENCY_NANOS, 3);
        callers.forEach(caller -> all.add(caller.join()));
        return all;
    }

    private CompletableFuture<Histogram> start(int number, boolean hop, long gapNanos, long end) {
        InetSocketAddress address = hop ? proxy.address() : servers.get(number % SERVERS);
        CompletableFuture<Histogram> result = new CompletableFuture<>();
        Thread thread =
                new Thread(() -> result.complete(measureCalls(address, hop ? "/desk/quote" : "/quote", gapNanos, end)));
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    private Histogram measureCalls(InetSocketAddress address, String target, long gapNanos, long end) {
        Histogram latency = new Histogram(MAX_LATENCY_NANOS, 3);
        try (BlockingCaller caller = BlockingCaller.connect(address)) {
            caller.call(target);
            long due = System.nanoTime();
            while (due < end) {
                long wait = due - System.nanoTime();
                if (wait > 0) {
                    LockSupport.parkNanos(wait);
                    continue;
                }
                if (caller.call(target) != 200) {
                    failures.incrementAndGet();
                }
                long now = System.nanoTime();
                latency.recordValue(Math.min(MAX_LATENCY_NANOS, now - due));
                due = gapNanos == 0 ? now : due + gapNanos;
            }
        } catch (IOException e) {
            failures.incrementAndGet();
        }
        return latency;
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return Math.max(0, runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE * MEGABYTE;
    }
}
