package org.arbutusfield.lab.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.HostEntryCodec;

/**
 * Measures the processor time that a newly started edge host takes to start, to do nothing, and for its first requests.
 *
 * <p>A host that serves few requests before it is restarted spends most of its time in code that is not yet compiled,
 * so the cost of the first requests is not that of later ones. The host runs as a separate process, with a stand-in
 * store that holds the entries of a large fleet. Prints one {@code key=value} line for each phase.
 */
public final class HostProcessorBenchmark {
    private static final Duration SERVICE_TIME = Duration.ofMillis(20);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(15);
    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(5);
    private static final int SERVICES = 2;
    private static final int OBJECTS = 300;
    private static final int[] REQUEST_PHASES = {50, 150, 200};
    private static final int MIN_ARGUMENTS = 4;

    private final PlatformFixture platform = PlatformFixture.start();
    private final PlatformFixture.HostAddresses addresses = platform.freeAddresses();
    private int requestCount;
    private int failures;

    private HostProcessorBenchmark() {}

    /**
     * Runs the benchmark. Exit codes: 0 measured, 1 the host did not start, 2 wrong usage.
     *
     * @param args number of upstreams, number of other hosts, idle seconds, then the command that starts a host
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length < MIN_ARGUMENTS) {
            System.err.println("usage: HostProcessorBenchmark UPSTREAMS HOSTS IDLE_SECONDS COMMAND...");
            System.exit(2);
        }
        HostProcessorBenchmark benchmark = new HostProcessorBenchmark();
        benchmark.fillStore(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
        List<String> command = List.of(args).subList(MIN_ARGUMENTS - 1, args.length);
        boolean measured = benchmark.measure(Duration.ofSeconds(Integer.parseInt(args[2])), command);
        System.exit(measured ? 0 : 1);
    }

    private void fillStore(int upstreams, int hosts) {
        platform.putRoutes(1, SERVICES);
        for (int i = 0; i < upstreams; i++) {
            InetSocketAddress address = platform.startUpstream(request -> {
                CompletableFuture<Void> served = new CompletableFuture<>();
                platform.timer().after(SERVICE_TIME, () -> served.complete(null));
                return served.thenApply(done -> PlatformFixture.answer(request));
            });
            platform.putUpstream("u" + i, i % SERVICES, address, "ready");
        }
        for (int i = 0; i < hosts; i++) {
            HostEntry entry = new HostEntry("other-" + i, "g", "d", "127.0.0.1:1", "127.0.0.1:1", 1);
            platform.content().put(HostEntryCodec.key(entry.name()), HostEntryCodec.encode(entry), 0);
        }
    }

    private boolean measure(Duration idle, List<String> command) throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("host-benchmark");
        Path log = directory.resolve("log.txt");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment()
                .put(
                        "ARBUTUSFIELD_NODE_FILE",
                        platform.writeSettings(directory, "self", 1, addresses).toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process host = builder.start();
        try {
            return measurePhases(host, idle);
        } finally {
            host.destroy();
            if (!host.waitFor(STOP_LIMIT.toSeconds(), TimeUnit.SECONDS)) {
                host.destroyForcibly();
            }
            System.out.printf("failures=%d log=%s%n", failures, log);
        }
    }

    private boolean measurePhases(Process host, Duration idle) throws InterruptedException {
        if (!awaitReady(host)) {
            System.err.println("host did not start");
            return false;
        }
        Duration used = report("start", 0, Duration.ZERO, host);
        TimeUnit.NANOSECONDS.sleep(idle.toNanos());
        used = report("idle", 0, used, host);
        for (int requests : REQUEST_PHASES) {
            send(requests);
            used = report("requests", requests, used, host);
        }
        return true;
    }

    private static Duration report(String phase, int requests, Duration usedBefore, Process host) {
        Duration used = host.info().totalCpuDuration().orElse(Duration.ZERO);
        long millis = used.minus(usedBefore).toMillis();
        System.out.printf(
                "phase=%s requests=%d cpu_ms=%d cpu_ms_per_request=%.2f%n",
                phase, requests, millis, requests == 0 ? 0.0 : (double) millis / requests);
        return used;
    }

    private boolean awaitReady(Process host) throws InterruptedException {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (host.isAlive() && System.nanoTime() - end < 0) {
            if (platform.get(addresses.ready(), "/ready").join()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    private void send(int requests) throws InterruptedException {
        List<CompletableFuture<Boolean>> pending = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            int number = requestCount++;
            pending.add(platform.send(addresses, "GET", number % SERVICES, number, number % OBJECTS));
            TimeUnit.NANOSECONDS.sleep(REQUEST_INTERVAL.toNanos());
        }
        for (CompletableFuture<Boolean> request : pending) {
            failures += request.join() ? 0 : 1;
        }
    }
}
