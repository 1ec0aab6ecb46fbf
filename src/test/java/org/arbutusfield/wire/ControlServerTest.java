package org.arbutusfield.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.Envelope;
import org.arbutusfield.wire.gen.SlotCancel;
import org.arbutusfield.wire.gen.TableRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ControlServerTest {
    private static final ControlMessage PING = ControlMessage.slotCancel(new SlotCancel().setRequestId("7"));
    private static final int OVERSIZED = ControlLimits.MAX_FRAME_BYTES + 1;

    private NioEventLoopGroup group;
    private ControlServer server;

    @BeforeEach
    void start() {
        group = new NioEventLoopGroup(1);
        ControlHandlers handlers = ControlHandlers.create();
        handlers.register(
                ControlMessage._Fields.SLOT_CANCEL,
                message -> CompletableFuture.completedFuture(Either.right(message)));
        server = ControlServer.start(group, new PeerAddress("127.0.0.1", 0), handlers, ControlLimits.defaults())
                .get();
    }

    @AfterEach
    void stop() throws InterruptedException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    static Stream<Arguments> invalidFrames() {
        byte[] oversized = ByteBuffer.allocate(4).putInt(OVERSIZED).array();
        return Stream.of(
                Arguments.of("not an envelope", framed(new byte[] {-1, -2, -3, -4}), ErrorCode.PEER_PROTOCOL),
                Arguments.of("empty frame", framed(new byte[0]), ErrorCode.PEER_PROTOCOL),
                Arguments.of("no version", framed(new byte[] {0}), ErrorCode.PEER_PROTOCOL),
                Arguments.of("truncated envelope", framed(truncated(encoded(PING), 5)), ErrorCode.PEER_PROTOCOL),
                // version 1, kind 1, id 1, message: table request with a list of 2^31-1 numbers
                Arguments.of(
                        "list length too large",
                        framed(hex("15021502160222" + "3c" + "19f6ffffffff07")),
                        ErrorCode.PEER_PROTOCOL),
                Arguments.of(
                        "negative length", ByteBuffer.allocate(4).putInt(-1).array(), ErrorCode.FRAME_TOO_LARGE),
                Arguments.of("oversized", oversized, ErrorCode.FRAME_TOO_LARGE));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidFrames")
    void invalidFrameIsRefusedAndConnectionClosed(String name, byte[] bytes, ErrorCode code) throws Exception {
        try (RawPeer peer = RawPeer.connect(server.port())) {
            peer.sendBytes(bytes);
            Optional<Envelope> refusal = peer.read();
            assertThat(refusal.map(e -> e.getMessage().getRefusal().getCode())).contains(code.name());
            assertThat(refusal.map(Envelope::getCorrelationId)).contains(0L);
            assertThat(peer.read()).isEmpty();
        }
        assertServes();
    }

    @Test
    void frameTruncatedByClosingPeerDoesNotAffectOthers() throws Exception {
        try (RawPeer peer = RawPeer.connect(server.port())) {
            peer.sendBytes(truncated(framed(encoded(PING)), 3));
        }
        assertServes();
    }

    @Test
    void unknownUnionMemberIsRefusedByIdAndConnectionStaysOpen() throws Exception {
        // version 2, kind 1, id 3, message: member 100 of type struct, and an unknown field 9 after it
        byte[] later = hex("150415021606" + "1c" + "0cc801" + "00" + "00" + "55" + "02" + "00");
        try (RawPeer peer = RawPeer.connect(server.port())) {
            Optional<Envelope> refusal = peer.sendFrame(later).read();
            assertThat(refusal.map(e -> e.getMessage().getRefusal().getCode()))
                    .contains(ErrorCode.MESSAGE_UNKNOWN.name());
            assertThat(refusal.map(Envelope::getCorrelationId)).contains(3L);
            assertThat(peer.sendMessage(EnvelopeKind.REQUEST, 4, PING).read().map(Envelope::getMessage))
                    .contains(PING);
        }
    }

    @Test
    void messageTypeWithoutHandlerIsRefused() throws Exception {
        ControlMessage unhandled = ControlMessage.tableRequest(new TableRequest());
        try (RawPeer peer = RawPeer.connect(server.port())) {
            Optional<Envelope> refusal =
                    peer.sendMessage(EnvelopeKind.REQUEST, 4, unhandled).read();
            assertThat(refusal.map(e -> e.getMessage().getRefusal().getCode()))
                    .contains(ErrorCode.MESSAGE_UNKNOWN.name());
        }
    }

    @Test
    void oneWayMessageGetsNoResponse() throws Exception {
        try (RawPeer peer = RawPeer.connect(server.port())) {
            peer.sendMessage(EnvelopeKind.ONE_WAY, 1, PING).sendMessage(EnvelopeKind.REQUEST, 2, PING);
            assertThat(peer.read().map(Envelope::getCorrelationId)).contains(2L);
        }
    }

    private void assertServes() throws Exception {
        try (RawPeer peer = RawPeer.connect(server.port())) {
            assertThat(peer.sendMessage(EnvelopeKind.REQUEST, 1, PING).read().map(Envelope::getMessage))
                    .contains(PING);
        }
    }

    private static byte[] encoded(ControlMessage message) {
        return EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.REQUEST, 1, message))
                .get();
    }

    private static byte[] framed(byte[] content) {
        return ByteBuffer.allocate(4 + content.length)
                .putInt(content.length)
                .put(content)
                .array();
    }

    private static byte[] truncated(byte[] bytes, int length) {
        return Arrays.copyOf(bytes, length);
    }

    private static byte[] hex(String digits) {
        return HexFormat.of().parseHex(digits);
    }
}
