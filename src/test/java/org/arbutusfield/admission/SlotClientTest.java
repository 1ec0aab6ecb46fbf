package org.arbutusfield.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotClientTest {
    private static final long MS = 1_000_000;
    private static final SlotToken T1 = SlotToken.of("h0", 1, 1);
    private static final SlotToken T2 = SlotToken.of("h0", 1, 2);

    private final SlotClient client = SlotClient.create(ClientSettings.defaults(), "h1", 1, "q/gulf/0", 0);
    private final List<ClientAction> out = new ArrayList<>();

    SlotClientTest() {
        client.configure(List.of(new UpstreamSlots("s1", "a", 1, false)), 0);
    }

    private void joinBroker() {
        client.membership(Set.of("h0"), 0);
        client.onBrokerAlive("h0", 1, 0);
    }

    private static SlotRequest slotRequest(String id) {
        return new SlotRequest(id, "h1", 1, "a", "q", "c", Priority.INTERACTIVE, 1000 * MS);
    }

    private static SlotGrant grant(String id, SlotToken token) {
        return new SlotGrant(id, "h1", "s9", token, 1000 * MS);
    }

    @Test
    void startsARequestOnceAndReleasesSurplusGrants() {
        joinBroker();
        out.addAll(client.requestSlot(slotRequest("r1"), 1));
        out.addAll(client.requestSlot(slotRequest("r1"), 1));
        assertThat(out).containsExactly(new ClientAction.Send("h0", slotRequest("r1")));
        out.clear();
        out.addAll(client.onDecision("h0", grant("r1", T1), 2));
        out.addAll(client.onDecision("h0", grant("r1", T1), 3));
        out.addAll(client.onDecision("h0", grant("r1", T2), 4));
        out.addAll(client.finished("r1", Outcome.COMPLETED, 5, 6));
        assertThat(out)
                .containsExactly(
                        new ClientAction.Start("r1", "s9"),
                        new ClientAction.Send("h0", new SlotRelease(T2, Outcome.CANCELLED, 0)),
                        new ClientAction.Send("h0", new SlotRelease(T1, Outcome.COMPLETED, 5)));
    }

    @Test
    void grantAfterRefusalOrAbandonmentIsReleased() {
        joinBroker();
        client.requestSlot(slotRequest("r1"), 1);
        client.requestSlot(slotRequest("r2"), 1);
        Failure failure = Failure.of(ErrorCode.OVERLOADED);
        out.addAll(client.onDecision("h0", new SlotRefusal("r1", "h1", failure), 2));
        out.addAll(client.onDecision("h0", grant("r1", T1), 3));
        out.addAll(client.abandon("r2", 4));
        out.addAll(client.onDecision("h0", grant("r2", T2), 5));
        assertThat(out)
                .containsExactly(
                        new ClientAction.Refuse("r1", failure),
                        new ClientAction.Send("h0", new SlotRelease(T1, Outcome.CANCELLED, 0)),
                        new ClientAction.Send("h0", new SlotCancel("r2")),
                        new ClientAction.Send("h0", new SlotRelease(T2, Outcome.CANCELLED, 0)));
    }

    @Test
    void usesBaseShareWhileBrokerIsUnreachableAndReportsWhenItReturns() {
        client.membership(Set.of("h0", "h1"), 0);
        client.configure(List.of(new UpstreamSlots("s1", "a", 2, false)), 0);
        client.onBrokerAlive(client.broker(), 1, 0);
        client.requestSlot(slotRequest("r1"), 1);
        client.requestSlot(slotRequest("r2"), 1);
        out.addAll(client.tick(100 * MS));
        assertThat(client.fallback()).isTrue();
        assertThat(out).contains(new ClientAction.Start("r1", "s1"));
        assertThat(client.waiting()).isEqualTo(1);
        out.clear();
        out.addAll(client.onBrokerAlive(client.broker(), 1, 150 * MS));
        assertThat(client.fallback()).isFalse();
        var report = (HeldSlots) ((ClientAction.Send) out.get(0)).message();
        assertThat(report.slots()).extracting(HeldSlots.Held::requestId).containsExactly("r1");
        assertThat(((SlotRequest) ((ClientAction.Send) out.get(1)).message()).requestId())
                .startsWith("r2~");
    }

    @Test
    void refusesAtTheDeadlineWithoutADecision() {
        joinBroker();
        client.requestSlot(slotRequest("r1"), 0);
        for (int i = 1; i < 11; i++) {
            client.onBrokerAlive("h0", 1, 90L * i * MS);
        }
        out.addAll(client.tick(1000 * MS));
        assertThat(out)
                .contains(new ClientAction.Refuse("r1", Failure.of(ErrorCode.DEADLINE_PASSED, "q")))
                .contains(new ClientAction.Send("h0", new SlotCancel("r1")));
    }

    @ParameterizedTest
    @CsvSource({
        "COMPLETED, a, false, 0, true",
        "SHED, a, false, 0, false",
        "COMPLETED, b, false, 0, false",
        "COMPLETED, a, true, 0, false",
        "COMPLETED, a, false, 8, false",
    })
    void takesOverOnlyUsableSlotInTheSameFailureDomainWithUsesLeft(
            Outcome outcome, String failureDomain, boolean drained, int use, boolean expected) {
        joinBroker();
        client.configure(List.of(new UpstreamSlots("s9", failureDomain, 1, drained)), 0);
        client.requestSlot(slotRequest("r1"), 1);
        client.requestSlot(slotRequest("r2"), 2);
        client.onDecision("h0", grant("r1", new SlotToken("h0", 1, SlotToken.USES + use)), 3);
        client.onDecision("h0", new SlotPermit("r2", "h1"), 4);
        out.addAll(client.finished("r1", outcome, 1, 5));
        assertThat(out.contains(new ClientAction.Start("r2", "s9"))).isEqualTo(expected);
    }
}
