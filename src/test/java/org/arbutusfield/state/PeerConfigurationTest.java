package org.arbutusfield.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.Body;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.api.Test;

/** A host that the store rejects learns a later configuration from others, and never goes back. */
class PeerConfigurationTest {
    private final VirtualTimer timer = VirtualTimer.create();
    private final ControlHandlers peerHandlers = ControlHandlers.create();
    private final FakeHolder own = new FakeHolder();
    private final FakeHolder peer = new FakeHolder();
    private final SteeringState hosts = new SteeringState(
            Optional.empty(),
            Map.of(),
            Set.of(),
            List.of(host("self"), host("peer")),
            Map.of(),
            Map.of(),
            StoreRevision.NONE);
    private int calls;
    private ControlTransport transport = (address, message, timeout) -> {
        calls++;
        return peerHandlers.handle(message);
    };

    private static final class FakeHolder implements ConfigurationHolder {
        private final List<String> installed = new ArrayList<>();
        private Runnable listener = () -> {};
        private boolean unavailable;
        private Optional<ConfigurationItem> item = Optional.empty();

        private void fail() {
            unavailable = true;
            listener.run();
        }

        private void hold(long version, int bytes) {
            item = Optional.of(new ConfigurationItem(version, "config", Body.of(new byte[bytes])));
        }

        @Override
        public void onOutage(Runnable outageListener) {
            listener = outageListener;
        }

        @Override
        public boolean storeUnavailable() {
            return unavailable;
        }

        @Override
        public Optional<ConfigurationItem> configuration() {
            return item;
        }

        @Override
        public void installFromPeer(String key, byte[] value) {
            installed.add(key + ":" + value.length);
        }
    }

    private static HostEntry host(String name) {
        return new HostEntry(name, "g", "g-a", "127.0.0.1:1", "127.0.0.1:2", 1000);
    }

    private void start() {
        PeerConfiguration.start("peer", () -> hosts, transport, peer, timer, new SplittableRandom(1))
                .register(peerHandlers);
        PeerConfiguration.start(
                "self", () -> hosts, (a, m, t) -> transport.call(a, m, t), own, timer, new SplittableRandom(1));
    }

    /** Guards against a removed key that stays valid at a host which the store rejects. */
    @Test
    void hostThatTheStoreRejectsInstallsALaterConfiguration() {
        start();
        own.hold(5, 10);
        peer.hold(7, 20);
        own.fail();
        timer.advance(Duration.ofMillis(600));
        assertThat(own.installed).containsExactly("config:20");
    }

    /** Guards against messages while the store answers, and after it answers again. */
    @Test
    void nothingIsAskedWhileTheStoreAnswers() {
        start();
        peer.hold(7, 20);
        timer.advance(Duration.ofSeconds(5));
        assertThat(calls).isZero();
        own.fail();
        timer.advance(Duration.ofMillis(1100));
        assertThat(calls).isEqualTo(2);
        own.unavailable = false;
        timer.advance(Duration.ofSeconds(5));
        assertThat(calls).isEqualTo(2);
        own.fail();
        timer.advance(Duration.ofMillis(600));
        assertThat(calls).isEqualTo(3);
    }

    /** Guards against an older or equal configuration that is sent or installed, and against oversized frames. */
    @Test
    void onlyALaterConfigurationOfBoundedSizeIsSent() {
        start();
        own.hold(7, 10);
        peer.hold(7, 20);
        own.fail();
        timer.advance(Duration.ofMillis(600));
        peer.hold(6, 20);
        timer.advance(Duration.ofMillis(500));
        peer.hold(8, 300_000);
        timer.advance(Duration.ofMillis(500));
        assertThat(calls).isEqualTo(3);
        assertThat(own.installed).isEmpty();
    }

    /** Guards against a failure at hosts of older builds, which don't know the message. */
    @Test
    void hostOfAnOlderBuildIsPassedOver() {
        transport = (address, message, timeout) -> {
            calls++;
            return CompletableFuture.completedFuture(
                    Either.<Failure, ControlMessage>left(Failure.of(ErrorCode.MESSAGE_UNKNOWN)));
        };
        start();
        own.fail();
        timer.advance(Duration.ofMillis(1600));
        assertThat(calls).isEqualTo(3);
        assertThat(own.installed).isEmpty();
    }
}
