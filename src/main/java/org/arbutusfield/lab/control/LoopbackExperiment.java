package org.arbutusfield.lab.control;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.distribution.ControlPlane;
import org.arbutusfield.distribution.ControlPlaneSettings;
import org.arbutusfield.distribution.LeaderSettings;
import org.arbutusfield.distribution.PlatformServices;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.distribution.SnapshotCheck;
import org.arbutusfield.member.HostListSource;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.timer.SystemTimer;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlLimits;
import org.arbutusfield.wire.PeerAddress;

/**
 * Measures complete control planes in one process that communicate over loopback: the time from the acceptance of a
 * release note until it is in force on all hosts, and bytes, frames, processor time and heap per host.
 */
public final class LoopbackExperiment {
    private static final int[] HOST_COUNTS = {5, 10, 20, 40};
    private static final int DOMAIN_COUNT = 6;
    private static final int CHANGES = 20;
    private static final int WARM_UP_CHANGES = 20;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final Duration MEASUREMENT_WINDOW = Duration.ofSeconds(30);
    private static final double CHANGES_PER_SECOND = 13_000 / 86_400.0;
    private static final int CONTENT_BYTES = 100_000;
    private static final int EDITS_PER_CHANGE = 5;
    private static final long SEED = 20_261_203;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final List<ControlPlane> planes = new ArrayList<>();
    private final List<NioEventLoopGroup> groups = new ArrayList<>();
    private final List<SystemTimer> timers = new ArrayList<>();
    private final SystemTimer storeTimer = SystemTimer.start();
    private final InMemorySnapshotStore store = InMemorySnapshotStore.create(storeTimer);
    private final byte[] content = new byte[CONTENT_BYTES];
    private long revision;

    private LoopbackExperiment() {}

    /** Runs the experiment and prints its table in Markdown. */
    public static void main(String[] arguments) throws InterruptedException {
        PrintStream out = System.out;
        out.println("| hosts | in force everywhere, median s | max s | idle B/s | idle frames/s | idle core % "
                + "| loaded B/s | loaded core % | heap MB | store calls/s |");
        out.println("|---|---|---|---|---|---|---|---|---|---|");
        new LoopbackExperiment().measure(2);
        for (int hosts : HOST_COUNTS) {
            out.println(new LoopbackExperiment().measure(hosts));
        }
    }

    private String measure(int hosts) throws InterruptedException {
        random.nextBytes(content);
        long heapBefore = usedHeap();
        for (int i = 0; i < hosts; i++) {
            planes.add(startControlPlane(i));
        }
        sleep(SETTLE_TIME);
        double[] seconds = new double[CHANGES];
        for (int i = -WARM_UP_CHANGES; i < CHANGES; i++) {
            double taken = applyChange();
            if (i >= 0) {
                seconds[i] = taken;
            }
        }
        Arrays.sort(seconds);
        double heap = (usedHeap() - heapBefore) / BYTES_PER_MEGABYTE / hosts;
        Sample idle = measureTraffic(hosts, 0);
        Sample loaded = measureTraffic(hosts, CHANGES_PER_SECOND);
        close();
        return String.format(
                Locale.ROOT,
                "| %d | %.3f | %.3f | %.0f | %.1f | %.3f | %.0f | %.3f | %.2f | %.1f |",
                hosts,
                seconds[CHANGES / 2],
                seconds[CHANGES - 1],
                idle.bytes,
                idle.frames,
                idle.corePercent,
                loaded.bytes,
                loaded.corePercent,
                heap,
                idle.storeCalls);
    }

    private double applyChange() throws InterruptedException {
        for (int i = 0; i < EDITS_PER_CHANGE; i++) {
            content[random.nextInt(CONTENT_BYTES)]++;
        }
        revision++;
        long awaited = revision;
        CountDownLatch installed = new CountDownLatch(planes.size());
        long startNanos = System.nanoTime();
        Snapshot accepted = store.accept(content.clone());
        for (ControlPlane plane : planes) {
            Semaphore firstInstallation = new Semaphore(1);
            plane.running().subscribe(snapshot -> {
                if (snapshot.revisionId().revision() >= awaited && firstInstallation.tryAcquire()) {
                    installed.countDown();
                }
            });
        }
        if (!installed.await(1, TimeUnit.MINUTES)) {
            throw new IllegalStateException("revision " + accepted.revisionId() + " is not in force everywhere");
        }
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private Sample measureTraffic(int hosts, double changesPerSecond) throws InterruptedException {
        long bytes = bytes();
        long frames = frames();
        long cpu = cpuNanos();
        long calls = store.reads() + store.writes();
        long startNanos = System.nanoTime();
        long changes = Math.round(MEASUREMENT_WINDOW.toSeconds() * changesPerSecond);
        for (long i = 0; i < changes; i++) {
            applyChange();
            sleep(MEASUREMENT_WINDOW.dividedBy(changes));
        }
        if (changes == 0) {
            sleep(MEASUREMENT_WINDOW);
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double core = (cpuNanos() - cpu) / 1e9 / seconds / hosts;
        return new Sample(
                (bytes() - bytes) / seconds / hosts,
                (frames() - frames) / seconds / hosts,
                core * 100,
                (store.reads() + store.writes() - calls) / seconds);
    }

    private ControlPlane startControlPlane(int index) {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        SystemTimer timer = SystemTimer.start();
        groups.add(group);
        timers.add(timer);
        Member self = new Member(
                "h" + index, "gulf", "gulf-" + index % DOMAIN_COUNT, "127.0.0.1", 0, 0, index + 1, MemberState.ALIVE);
        List<PeerAddress> seeds =
                planes.isEmpty() ? List.of() : List.of(planes.get(0).address());
        ControlPlaneSettings settings = new ControlPlaneSettings(
                new MembershipSettings(self, seeds, MembershipLimits.defaults(), Duration.ofSeconds(5)),
                ControlLimits.defaults(),
                LeaderSettings.defaults());
        return ControlPlane.start(settings, platform(timer), group, timer)
                .getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
    }

    private PlatformServices platform(TimerService timer) {
        SnapshotStoreClient client = store.client(timer);
        return new PlatformServices(client, client, client::restore, HostListSource.none(), SnapshotCheck.sha256());
    }

    private long bytes() {
        long sum = 0;
        for (ControlPlane plane : planes) {
            sum += plane.client().traffic().bytesSent()
                    + plane.client().traffic().bytesReceived()
                    + plane.server().traffic().bytesSent()
                    + plane.server().traffic().bytesReceived();
        }
        return sum;
    }

    private long frames() {
        long sum = 0;
        for (ControlPlane plane : planes) {
            sum += plane.client().traffic().framesSent()
                    + plane.server().traffic().framesSent();
        }
        return sum;
    }

    private void close() throws InterruptedException {
        planes.forEach(ControlPlane::close);
        for (NioEventLoopGroup group : groups) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        timers.forEach(SystemTimer::close);
        storeTimer.close();
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void sleep(Duration length) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(length.toNanos());
    }

    private record Sample(double bytes, double frames, double corePercent, double storeCalls) {}
}
