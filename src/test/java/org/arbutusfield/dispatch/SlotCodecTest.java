package org.arbutusfield.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.arbutusfield.admission.BrokerMessage;
import org.arbutusfield.admission.HeldSlots;
import org.arbutusfield.admission.Priority;
import org.arbutusfield.admission.SlotCancel;
import org.arbutusfield.admission.SlotDecision;
import org.arbutusfield.admission.SlotGrant;
import org.arbutusfield.admission.SlotPermit;
import org.arbutusfield.admission.SlotRefusal;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRequest;
import org.arbutusfield.admission.SlotTakeover;
import org.arbutusfield.admission.SlotToken;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SlotCodecTest {
    private static final SlotToken TOKEN = new SlotToken("h0", 7, 3);
    private static final SlotRelease RELEASE = new SlotRelease(TOKEN, SlotRelease.Outcome.SHED, 55);

    static Stream<BrokerMessage> messages() {
        return Stream.of(
                new SlotRequest("r1", "h1", 4, "gulf-a", "quotedesk", "hold", Priority.BACKGROUND, 99),
                RELEASE,
                new SlotTakeover(RELEASE, "r2", "hold", 11),
                new SlotCancel("r1"),
                new HeldSlots("h1", 4, List.of(new HeldSlots.Held(TOKEN, "r1", "hold", "s1", 12))));
    }

    static Stream<SlotDecision> decisions() {
        Failure failure = Failure.of(ErrorCode.OVERLOADED, "quotedesk", "full");
        return Stream.of(
                new SlotGrant("r1", "h1", "s1", TOKEN, 9),
                new SlotPermit("r1", "h1"),
                new SlotRefusal("r1", "h1", failure),
                new SlotRefusal("r1", "h1", failure.withRetryAfter(Duration.ofMillis(250))));
    }

    static Stream<ControlMessage> malformed() {
        return Stream.of(
                ControlMessage.slotRequest(new org.arbutusfield.wire.gen.SlotRequest()),
                ControlMessage.slotRelease(new org.arbutusfield.wire.gen.SlotRelease()),
                ControlMessage.slotTakeover(new org.arbutusfield.wire.gen.SlotTakeover()),
                ControlMessage.slotCancel(new org.arbutusfield.wire.gen.SlotCancel()),
                ControlMessage.heldSlots(new org.arbutusfield.wire.gen.HeldSlots()),
                ControlMessage.slotRequest(new org.arbutusfield.wire.gen.SlotRequest(
                        "g", "r1", "h1", 4, "gulf-a", "quotedesk", "hold", 3, 99)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageToBrokerSurvivesRoundTrip(BrokerMessage message) {
        var decoded = SlotCodec.decodeToBroker(SlotCodec.encode("quotedesk/gulf", "h1", message));
        assertThat(decoded.get()).isEqualTo(new SlotCodec.ToBroker("quotedesk/gulf", "h1", message));
    }

    @ParameterizedTest
    @MethodSource("decisions")
    void decisionSurvivesRoundTrip(SlotDecision decision) {
        assertThat(SlotCodec.decodeDecision("h1", SlotCodec.encode("quotedesk/gulf", decision))
                        .get())
                .isEqualTo(decision);
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void incompleteMessagesAreRejected(ControlMessage message) {
        assertThat(SlotCodec.decodeToBroker(message).getLeft().code()).isEqualTo(ErrorCode.PEER_PROTOCOL);
    }
}
