package org.arbutusfield.lab.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.arbutusfield.claim.ClaimService;
import org.arbutusfield.claim.ClaimSettings;
import org.arbutusfield.claim.ClaimShard;
import org.arbutusfield.error.Failure;
import org.arbutusfield.lab.MemoryStore;
import org.arbutusfield.lab.StoreCall;
import org.arbutusfield.lab.StoreFault;
import org.arbutusfield.lab.StoreFaults;
import org.arbutusfield.proxy.KeyClaim;
import org.arbutusfield.proxy.KeyOutcome;
import org.arbutusfield.timer.VirtualTimer;

/**
 * Measures, in virtual time, the load that claims put on the store. Hosts claim distinct keys at a constant rate, and
 * each request ends 50 ms after its claim. The store responds in 5 ms and accepts at most 500 writes and 2,000 reads
 * per second. Prints a Markdown table; takes no arguments.
 */
public final class ClaimBenchmark {
    private static final Duration STORE_DELAY = Duration.ofMillis(5);
    private static final Duration REQUEST_DURATION = Duration.ofMillis(50);
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(10);
    private static final int STORE_WRITES_PER_SECOND = 500;
    private static final int STORE_READS_PER_SECOND = 2000;
    private static final int HOST_WRITES_PER_SECOND = 20;
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    private final VirtualTimer timer = VirtualTimer.create();
    private final MemoryStore store = MemoryStore.create(timer, Duration.ofMillis(500));
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final List<ClaimService> services = new ArrayList<>();
    private final int claimsPerSecond;
    private long requested;
    private long granted;

    private ClaimBenchmark(int hosts, int claimsPerSecond, int shards) {
        this.claimsPerSecond = claimsPerSecond;
        ClaimSettings settings = new ClaimSettings(
                shards,
                Duration.ofHours(24),
                Duration.ofMinutes(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                HOST_WRITES_PER_SECOND,
                ClaimShard.MAX_CLAIMS);
        store.injectFaults(StoreFaults.always(StoreFault.slow(STORE_DELAY)));
        store.limitRates(STORE_WRITES_PER_SECOND, STORE_READS_PER_SECOND);
        for (int i = 0; i < hosts; i++) {
            services.add(ClaimService.create(
                    store, timer, () -> TimeUnit.NANOSECONDS.toSeconds(timer.nowNanos()), "host-" + i, settings));
        }
    }

    /** Runs all measurements. */
    public static void main(String[] args) {
        System.out.println(
                "| hosts | claims/s per host | shards | asked/s | granted/s | refused % | writes/s | reads/s "
                        + "| claim ms p50 | p99 |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (int shards : new int[] {8, 16, 64}) {
            for (int rate : new int[] {1, 10, 100, 1000}) {
                new ClaimBenchmark(20, rate, shards).run(shards);
            }
        }
        for (int hosts : new int[] {5, 10, 40}) {
            new ClaimBenchmark(hosts, 10, 16).run(16);
        }
    }

    private void run(int shards) {
        Duration interval = Duration.ofSeconds(1).dividedBy(claimsPerSecond);
        for (int i = 0; i < services.size(); i++) {
            int host = i;
            Duration offset = interval.multipliedBy(host).dividedBy(services.size());
            timer.after(offset, () -> timer.every(interval, () -> claim(host)));
        }
        timer.advance(MEASUREMENT_TIME);
        double seconds = MEASUREMENT_TIME.toMillis() / 1e3;
        System.out.printf(
                "| %d | %d | %d | %.0f | %.0f | %.1f | %.0f | %.0f | %.1f | %.1f |%n",
                services.size(),
                claimsPerSecond,
                shards,
                requested / seconds,
                granted / seconds,
                100.0 * (requested - granted) / requested,
                store.count(StoreCall.Kind.WRITE) / seconds,
                store.count(StoreCall.Kind.READ) / seconds,
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3);
    }

    private void claim(int host) {
        requested++;
        long start = timer.nowNanos();
        services.get(host)
                .claim("service", host + "-" + requested, "", "")
                .thenAccept(answer -> onDecision(start, answer));
    }

    private void onDecision(long startNanos, Either<Failure, KeyClaim> answer) {
        if (answer.isLeft()) {
            return;
        }
        granted++;
        latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(timer.nowNanos() - startNanos));
        timer.after(REQUEST_DURATION, () -> answer.get().complete(KeyOutcome.answered(200)));
    }
}
