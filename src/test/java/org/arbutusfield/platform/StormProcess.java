package org.arbutusfield.platform;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.state.StateCache;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.state.StoreWatcher;
import org.arbutusfield.timer.SystemTimer;
import org.arbutusfield.timer.TimerService;

/** Follows a {@link StormStore} in a process of its own, whose heap is limited, beside memory that others hold. */
final class StormProcess {
    /** What is printed once the last version is in force. */
    static final String IN_FORCE = "storm: in force after ";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(600);
    private static final int SECONDS_TO_FOLLOW = 30;

    private StormProcess() {}

    /** Arguments: number of versions, bytes of each, MiB that others hold. */
    public static void main(String[] args) throws IOException, InterruptedException {
        StormStore store = StormStore.start(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
        List<byte[]> heldByOthers = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[2]); i++) {
            heldByOthers.add(new byte[1 << 20]);
        }
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        TimerService timer = SystemTimer.on(group.next());
        HttpClient client = HttpClient.reusingConnections(group, CALL_TIMEOUT, Duration.ofSeconds(2));
        CountDownLatch inForce = new CountDownLatch(1);
        StoreWatcher.start(
                PlatformStoreClient.create(client, store.address(), CALL_TIMEOUT, (kind, status) -> {}),
                timer,
                StateCache.create(PlatformItemDecoder.create(), Map.of()),
                Duration.ofSeconds(1),
                StoreHealth.create(),
                state -> {
                    if (state.routesVersion() == store.lastVersion()) {
                        inForce.countDown();
                    }
                });
        boolean followed = inForce.await(SECONDS_TO_FOLLOW, TimeUnit.SECONDS);
        System.out.println(followed ? IN_FORCE + store.lists() + " listings, beside " + heldByOthers.size() : "behind");
        System.exit(0);
    }
}
