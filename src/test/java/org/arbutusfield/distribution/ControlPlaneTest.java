package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.lab.control.InMemorySnapshotStore;
import org.arbutusfield.lab.control.SnapshotStoreClient;
import org.arbutusfield.member.HostListSource;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.timer.SystemTimer;
import org.arbutusfield.wire.ControlLimits;
import org.arbutusfield.wire.PeerAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests complete control planes over loopback sockets. */
class ControlPlaneTest {
    private static final int HOSTS = 6;
    private static final int TIMEOUT_SECONDS = 60;

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final InMemorySnapshotStore store = InMemorySnapshotStore.create(timer);
    private final List<ControlPlane> planes = new ArrayList<>();

    @AfterEach
    void stop() throws InterruptedException {
        planes.forEach(ControlPlane::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        timer.close();
    }

    @Test
    void acceptedConfigurationReachesAllHostsAndOneStartedWhileStoreIsDown() throws Exception {
        for (int i = 0; i < HOSTS; i++) {
            planes.add(start(i));
        }
        byte[] content = new byte[1_000_000];
        Snapshot accepted = store.accept(content);
        for (ControlPlane plane : planes) {
            assertThat(inForce(plane).get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(accepted);
        }
        store.down(true);
        planes.add(start(HOSTS));
        assertThat(inForce(planes.get(HOSTS)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo(accepted);
    }

    @Test
    void leavingHostIsAnnouncedToOthers() throws Exception {
        for (int i = 0; i < HOSTS; i++) {
            planes.add(start(i));
        }
        for (ControlPlane plane : planes) {
            awaitPresent(plane, HOSTS).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        planes.get(3).leave();
        for (ControlPlane plane : planes) {
            awaitPresent(plane, HOSTS - 1).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private ControlPlane start(int index) {
        Member self =
                new Member("h" + index, "gulf", "gulf-" + index % 2, "127.0.0.1", 0, 0, index + 1, MemberState.ALIVE);
        List<PeerAddress> seeds =
                planes.isEmpty() ? List.of() : List.of(planes.get(0).address());
        ControlPlaneSettings settings = new ControlPlaneSettings(
                new MembershipSettings(self, seeds, MembershipLimits.defaults(), Duration.ofSeconds(5)),
                ControlLimits.defaults(),
                LeaderSettings.defaults());
        SnapshotStoreClient client = store.client(timer);
        PlatformServices platform =
                new PlatformServices(client, client, client::restore, HostListSource.none(), SnapshotCheck.sha256());
        return ControlPlane.start(settings, platform, group, timer).get();
    }

    private static CompletableFuture<Snapshot> inForce(ControlPlane plane) {
        CompletableFuture<Snapshot> installed = new CompletableFuture<>();
        plane.running().subscribe(installed::complete);
        return installed;
    }

    private static CompletableFuture<Boolean> awaitPresent(ControlPlane plane, int count) {
        CompletableFuture<Boolean> reached = new CompletableFuture<>();
        Runnable check = () -> {
            if (plane.membership().view().table().presentCount() == count) {
                reached.complete(true);
            }
        };
        plane.membership().addViewListener(view -> check.run());
        check.run();
        return reached;
    }
}
