package org.arbutusfield.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.HexFormat;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.SlotCancel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final ControlLimits LIMITS = new ControlLimits(
            Duration.ofSeconds(5),
            Duration.ofSeconds(2),
            Duration.ofSeconds(60),
            Duration.ofMillis(100),
            Duration.ofSeconds(5),
            2,
            8,
            8);

    private NioEventLoopGroup group;
    private VirtualTimer timer;
    private ControlClient client;
    private ServerSocket listener;
    private PeerAddress address;

    @BeforeEach
    void start() throws Exception {
        group = new NioEventLoopGroup(1);
        timer = VirtualTimer.create();
        client = ControlClient.start(group, timer, LIMITS);
        listener = RawPeer.listen();
        address = new PeerAddress("127.0.0.1", listener.getLocalPort());
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    @Test
    void outOfOrderResponsesAreMatchedToRequests() throws Exception {
        CompletableFuture<Either<Failure, ControlMessage>> first = client.call(address, message(1), TIMEOUT);
        CompletableFuture<Either<Failure, ControlMessage>> second = client.call(address, message(2), TIMEOUT);
        try (RawPeer peer = RawPeer.accept(listener)) {
            long firstId = peer.read().orElseThrow().getCorrelationId();
            long secondId = peer.read().orElseThrow().getCorrelationId();
            peer.sendMessage(EnvelopeKind.RESPONSE, 99, message(99))
                    .sendMessage(EnvelopeKind.RESPONSE, secondId, message(2))
                    .sendMessage(EnvelopeKind.RESPONSE, firstId, message(1));
            assertThat(outcome(first).get()).isEqualTo(message(1));
            assertThat(outcome(second).get()).isEqualTo(message(2));
        }
    }

    @Test
    void silentConnectionWithUnansweredRequestIsReplaced() throws Exception {
        CompletableFuture<Either<Failure, ControlMessage>> lost = client.call(address, message(1), TIMEOUT);
        try (RawPeer silent = RawPeer.accept(listener)) {
            assertThat(silent.read()).isPresent();
            timer.advance(TIMEOUT);
            assertThat(code(lost)).isEqualTo(ErrorCode.PEER_TIMEOUT);
            timer.advance(LIMITS.progressTimeout());
            assertThat(silent.read()).isEmpty();
            CompletableFuture<Either<Failure, ControlMessage>> next = client.call(address, message(2), TIMEOUT);
            try (RawPeer replacement = RawPeer.accept(listener)) {
                long id = replacement.read().orElseThrow().getCorrelationId();
                replacement.sendMessage(EnvelopeKind.RESPONSE, id, message(2));
                assertThat(outcome(next).get()).isEqualTo(message(2));
            }
        }
    }

    @Test
    void connectionLostAfterRequestLeavesOutcomeUnknown() throws Exception {
        CompletableFuture<Either<Failure, ControlMessage>> lost = client.call(address, message(1), TIMEOUT);
        try (RawPeer peer = RawPeer.accept(listener)) {
            peer.read();
        }
        assertThat(code(lost)).isEqualTo(ErrorCode.PEER_LOST);
        assertThat(outcome(lost).getLeft().notRun()).isFalse();
    }

    @Test
    void refusedConnectionBacksOffBeforeNextAttempt() throws Exception {
        listener.close();
        assertThat(code(client.call(address, message(1), TIMEOUT))).isEqualTo(ErrorCode.PEER_UNREACHABLE);
        try (ServerSocket reopened = new ServerSocket(address.port(), 1, InetAddress.getLoopbackAddress())) {
            assertThat(code(client.call(address, message(2), TIMEOUT))).isEqualTo(ErrorCode.PEER_UNREACHABLE);
            timer.advance(LIMITS.initialBackoff());
            CompletableFuture<Either<Failure, ControlMessage>> next = client.call(address, message(3), TIMEOUT);
            try (RawPeer peer = RawPeer.accept(reopened)) {
                peer.sendMessage(
                        EnvelopeKind.RESPONSE, peer.read().orElseThrow().getCorrelationId(), message(3));
                assertThat(outcome(next).get()).isEqualTo(message(3));
            }
        }
    }

    @Test
    void unknownResponseAndInvalidEnvelopeFailTheirCalls() throws Exception {
        CompletableFuture<Either<Failure, ControlMessage>> unknown = client.call(address, message(1), TIMEOUT);
        CompletableFuture<Either<Failure, ControlMessage>> broken = client.call(address, message(2), TIMEOUT);
        try (RawPeer peer = RawPeer.accept(listener)) {
            assertThat(peer.read().orElseThrow().getCorrelationId()).isEqualTo(1);
            // version 1, response, id 1, message: member 100 of type struct
            peer.sendFrame(HexFormat.of().parseHex("15021504160" + "21c" + "0cc8010000" + "00"));
            assertThat(code(unknown)).isEqualTo(ErrorCode.MESSAGE_UNKNOWN);
            peer.sendFrame(new byte[] {1, 2, 3});
            assertThat(code(broken)).isEqualTo(ErrorCode.PEER_LOST);
        }
    }

    @Test
    void queuePerPeerIsBounded() {
        Semaphore network = new Semaphore(0);
        group.execute(network::acquireUninterruptibly);
        client.send(address, message(1));
        client.send(address, message(2));
        Either<Failure, PeerAddress> third = client.send(address, message(3));
        network.release();
        assertThat(third.getLeft().code()).isEqualTo(ErrorCode.PEER_BUSY);
    }

    private static ControlMessage message(long id) {
        return ControlMessage.slotCancel(new SlotCancel().setRequestId(Long.toString(id)));
    }

    private static Either<Failure, ControlMessage> outcome(CompletableFuture<Either<Failure, ControlMessage>> call)
            throws Exception {
        return call.get(10, TimeUnit.SECONDS);
    }

    private static ErrorCode code(CompletableFuture<Either<Failure, ControlMessage>> call) throws Exception {
        return outcome(call).getLeft().code();
    }
}
