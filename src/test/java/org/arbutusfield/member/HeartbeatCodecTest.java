package org.arbutusfield.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.wire.EnvelopeCodec;
import org.arbutusfield.wire.EnvelopeKind;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.Heartbeat;
import org.arbutusfield.wire.gen.MemberRecord;
import org.arbutusfield.wire.gen.SlotCancel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class HeartbeatCodecTest {
    private static final Member MEMBER =
            new Member("a", "gulf", "gulf-a", "127.0.0.1", 8080, 8081, 1_700_000_000_000L, MemberState.SUSPECT);
    private static final org.arbutusfield.member.Heartbeat HEARTBEAT = new org.arbutusfield.member.Heartbeat(
            "a",
            7,
            MemberState.LEAVING,
            3,
            new RevisionAnnouncement(12, Digests.sha256(new byte[] {1})),
            -5,
            true,
            List.of(new Rumour(MEMBER, 2)));

    @Test
    void heartbeatRoundTrips() {
        byte[] frame = EnvelopeCodec.encode(
                        EnvelopeCodec.envelope(EnvelopeKind.REQUEST, 1, HeartbeatCodec.encode(HEARTBEAT)))
                .get();
        ControlMessage received = EnvelopeCodec.decode(frame).get().getMessage();
        assertThat(HeartbeatCodec.decode(received).get()).isEqualTo(HEARTBEAT);
    }

    @Test
    void memberTableRoundTrips() {
        List<Rumour> table = List.of(new Rumour(MEMBER, 1), new Rumour(MEMBER.withState(MemberState.DEAD), 4));
        assertThat(HeartbeatCodec.decodeTable(HeartbeatCodec.encodeTable(table)).get())
                .isEqualTo(table);
    }

    static Stream<Arguments> malformed() {
        return Stream.of(
                Arguments.of("no name", change(h -> h.setName(null))),
                Arguments.of("unknown state", change(h -> h.setState(9))),
                Arguments.of("negative revision", change(h -> h.setRevision(-1))),
                Arguments.of("record without region", change(h -> h.setRumours(List.of(new MemberRecord())))),
                Arguments.of("another message", ControlMessage.slotCancel(new SlotCancel())));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("malformed")
    void malformedHeartbeatFailsWithPeerProtocol(String name, ControlMessage message) {
        assertThat(HeartbeatCodec.decode(message).getLeft().code()).isEqualTo(ErrorCode.PEER_PROTOCOL);
    }

    private static ControlMessage change(Consumer<Heartbeat> change) {
        ControlMessage message = HeartbeatCodec.encode(HEARTBEAT);
        change.accept(message.getHeartbeat());
        return message;
    }
}
