package org.arbutusfield.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotBrokerTest {
    private static final long MS = 1_000_000;
    private static final BrokerSettings WITHOUT_PERMITS =
            BrokerSettings.defaults().withPermits(0);
    private static final UpstreamSlots S1 = new UpstreamSlots("s1", "a", 1, false);
    private static final UpstreamSlots S2 = new UpstreamSlots("s2", "b", 1, false);

    private final List<SlotDecision> out = new ArrayList<>();

    private static SlotBroker broker(BrokerSettings settings, UpstreamSlots... servers) {
        SlotBroker broker = SlotBroker.create(settings, "h0", 1, Set.of(), 0);
        broker.configure(List.of(servers), 0);
        return broker;
    }

    private static SlotRequest slotRequest(String id, Priority priority, long remainingMillis) {
        return new SlotRequest(id, "h1", 1, "a", "quotedesk", "class", priority, remainingMillis * MS);
    }

    private static SlotRequest slotRequest(String id) {
        return slotRequest(id, Priority.INTERACTIVE, 1000);
    }

    private List<String> describeDecisions() {
        List<String> descriptions = out.stream().map(SlotBrokerTest::describe).toList();
        out.clear();
        return descriptions;
    }

    private static String describe(SlotDecision decision) {
        if (decision instanceof SlotPermit) {
            return decision.requestId() + "?";
        }
        return decision instanceof SlotGrant grant
                ? grant.requestId() + "@" + grant.upstream()
                : decision.requestId() + "!"
                        + ((SlotRefusal) decision).failure().code();
    }

    private static SlotRelease releaseOf(SlotDecision grant, Outcome outcome, long millis) {
        return new SlotRelease(((SlotGrant) grant).token(), outcome, millis * MS);
    }

    @Test
    void grantsEachSlotOnceAndRepeatsTheFirstDecision() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1, S2);
        List<SlotDecision> first = broker.request(slotRequest("r1"), 0);
        out.addAll(first);
        out.addAll(broker.request(slotRequest("r1"), 1));
        out.addAll(broker.request(slotRequest("r2"), 2));
        out.addAll(broker.request(slotRequest("r3"), 3));
        out.addAll(broker.request(slotRequest("r3"), 4));
        assertThat(describeDecisions()).containsExactly("r1@s1", "r1@s1", "r2@s2");
        out.addAll(broker.release(releaseOf(first.get(0), Outcome.COMPLETED, 1), 5));
        out.addAll(broker.release(releaseOf(first.get(0), Outcome.COMPLETED, 1), 6));
        assertThat(describeDecisions()).containsExactly("r3@s1");
        assertThat(broker.inUse("s1")).isEqualTo(1);
    }

    @Test
    void servesByPriorityWithoutStarvation() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1);
        SlotDecision running = broker.request(slotRequest("r0"), 0).get(0);
        broker.request(slotRequest("leisure", Priority.BACKGROUND, 60_000), 1);
        for (int i = 0; i < 20; i++) {
            broker.request(slotRequest("i" + i, Priority.INTERACTIVE, 60_000), 2);
        }
        broker.request(slotRequest("booking", Priority.NON_REPEATABLE, 60_000), 3);
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 22; i++) {
            running = broker.release(releaseOf(running, Outcome.COMPLETED, 0), 4 + i)
                    .get(0);
            served.add(running.requestId());
        }
        assertThat(served.get(0)).isEqualTo("booking");
        assertThat(served.indexOf("leisure")).isEqualTo(18);
    }

    @Test
    void servesEarliestDeadlineFirstIfConfigured() {
        SlotBroker broker = broker(WITHOUT_PERMITS.withOrder(QueueOrder.EARLIEST_DEADLINE), S1);
        SlotDecision running = broker.request(slotRequest("r0"), 0).get(0);
        broker.request(slotRequest("late", Priority.INTERACTIVE, 900), 1);
        broker.request(slotRequest("soon", Priority.INTERACTIVE, 500), 2);
        out.addAll(broker.release(releaseOf(running, Outcome.COMPLETED, 1), 3));
        assertThat(describeDecisions()).containsExactly("soon@s1");
    }

    /** Mean service time 100 ms on one slot, with one request running and the given number queued. */
    @ParameterizedTest
    @CsvSource({
        "0, 90, DEADLINE_UNREACHABLE",
        "0, 0, DEADLINE_PASSED",
        "0, 300, ''",
        "3, 300, OVERLOADED",
        "3, 2000, ''",
        "9, 1000, OVERLOADED",
    })
    void refusesRequestThatCannotFinishOnArrival(int waiting, long remainingMillis, String expected) {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1);
        SlotDecision grant = broker.request(slotRequest("r0"), 0).get(0);
        broker.release(releaseOf(grant, Outcome.COMPLETED, 100), 100 * MS);
        broker.request(slotRequest("r1"), 100 * MS);
        for (int i = 0; i < waiting; i++) {
            broker.request(slotRequest("w" + i, Priority.INTERACTIVE, 60_000), 100 * MS);
        }
        out.addAll(broker.request(slotRequest("x", Priority.INTERACTIVE, remainingMillis), 100 * MS));
        assertThat(describeDecisions()).isEqualTo(expected.isEmpty() ? List.of() : List.of("x!" + expected));
    }

    @Test
    void nonRepeatableRequestsDisplaceBackgroundOnesAndRetryAfterFollowsTheBacklog() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1);
        SlotDecision grant = broker.request(slotRequest("r0"), 0).get(0);
        broker.release(releaseOf(grant, Outcome.COMPLETED, 100), 100 * MS);
        broker.request(slotRequest("r1"), 100 * MS);
        broker.request(slotRequest("leisure", Priority.BACKGROUND, 1000), 100 * MS);
        for (int i = 0; i < 9; i++) {
            out.addAll(broker.request(slotRequest("b" + i, Priority.NON_REPEATABLE, 60_000), 100 * MS));
        }
        assertThat(out).hasSize(1);
        Duration retry = ((SlotRefusal) out.get(0)).failure().retryAfter().orElseThrow();
        assertThat(describeDecisions()).containsExactly("leisure!OVERLOADED");
        assertThat(retry).isBetween(Duration.ofMillis(500), Duration.ofMillis(1000));
    }

    @Test
    void refusesQueuedRequestAfterItsLatestStart() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1);
        broker.request(slotRequest("r0", Priority.INTERACTIVE, 60_000), 0);
        broker.request(slotRequest("r1"), 0);
        assertThat(broker.nextWakeNanos(0)).isEqualTo(1000 * MS + 1);
        out.addAll(broker.tick(1000 * MS + 1));
        assertThat(describeDecisions()).containsExactly("r1!OVERLOADED");
    }

    @Test
    void drainedAndWithdrawnUpstreamsGetNoGrant() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1, S2);
        SlotDecision r1 = broker.request(slotRequest("r1"), 0).get(0);
        broker.configure(List.of(new UpstreamSlots("s1", "a", 1, true), S2), 1);
        out.addAll(broker.request(slotRequest("r2"), 2));
        out.addAll(broker.request(slotRequest("r3"), 3));
        out.addAll(broker.release(releaseOf(r1, Outcome.COMPLETED, 0), 4));
        assertThat(describeDecisions()).containsExactly("r2@s2");
        broker.configure(List.of(new UpstreamSlots("s1", "a", 1, true)), 5);
        out.addAll(broker.request(slotRequest("r4"), 6));
        assertThat(describeDecisions()).containsExactly("r4!NO_UPSTREAM");
    }

    @Test
    void slotsOfLostHostStayInUseUntilTheDeadline() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1);
        broker.request(slotRequest("r1", Priority.INTERACTIVE, 100), 0);
        broker.request(slotRequest("r2"), 0);
        out.addAll(broker.hostLost("h1", 1, 1));
        out.addAll(broker.request(new SlotRequest("r3", "h2", 1, "b", "q", "c", Priority.BACKGROUND, 9000 * MS), 2));
        assertThat(describeDecisions()).isEmpty();
        out.addAll(broker.tick(150 * MS));
        assertThat(describeDecisions()).containsExactly("r3@s1");
    }

    @Test
    void newBrokerCountsReportedSlotsBeforeItGrants() {
        SlotBroker broker = SlotBroker.create(WITHOUT_PERMITS, "h0", 2, Set.of("h1", "h2"), 0);
        broker.configure(List.of(S1, S2), 0);
        SlotToken old = SlotToken.of("h9", 7, 3);
        out.addAll(broker.request(slotRequest("r1"), 1));
        out.addAll(broker.report(new HeldSlots("h1", 1, List.of()), 2));
        assertThat(describeDecisions()).isEmpty();
        var held = new HeldSlots.Held(old, "r0", "class", "s1", 1000 * MS);
        out.addAll(broker.report(new HeldSlots("h2", 1, List.of(held)), 3));
        out.addAll(broker.request(slotRequest("r2"), 4));
        assertThat(describeDecisions()).containsExactly("r1@s2");
        out.addAll(broker.release(new SlotRelease(old, Outcome.COMPLETED, 1), 5));
        out.addAll(broker.report(new HeldSlots("h2", 1, List.of(held)), 6));
        assertThat(describeDecisions()).containsExactly("r2@s1");
        assertThat(broker.inUse("s1")).isEqualTo(1);
    }

    @Test
    void newBrokerStopsWaitingAfterTheGraceTime() {
        SlotBroker broker = SlotBroker.create(WITHOUT_PERMITS, "h0", 2, Set.of("h1", "h2"), 0);
        broker.configure(List.of(S1), 0);
        broker.request(slotRequest("r1"), 1);
        assertThat(broker.nextWakeNanos(1)).isEqualTo(500 * MS);
        out.addAll(broker.tick(500 * MS));
        assertThat(describeDecisions()).containsExactly("r1@s1");
    }

    @Test
    void shedWithholdsOneSlotUntilItRecovers() {
        SlotBroker broker = broker(WITHOUT_PERMITS, new UpstreamSlots("s1", "a", 2, false));
        SlotDecision r1 = broker.request(slotRequest("r1"), 0).get(0);
        broker.request(slotRequest("r2", Priority.INTERACTIVE, 60_000), 0);
        broker.request(slotRequest("r3", Priority.INTERACTIVE, 60_000), 0);
        out.addAll(broker.release(releaseOf(r1, Outcome.SHED, 0), MS));
        assertThat(describeDecisions()).isEmpty();
        assertThat(broker.capacity(MS)).isEqualTo(1);
        out.addAll(broker.tick(1001 * MS));
        assertThat(describeDecisions()).containsExactly("r3@s1");
    }

    @Test
    void cancelledRequestIsNeitherQueuedNorGranted() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1);
        broker.request(slotRequest("r1"), 0);
        broker.request(slotRequest("r2"), 0);
        broker.cancel("r2", 1);
        broker.cancel("r3", 1);
        broker.request(slotRequest("r3"), 2);
        out.addAll(broker.request(slotRequest("r4"), 2));
        out.addAll(broker.cancel("r1", 3));
        assertThat(describeDecisions()).containsExactly("r4@s1");
    }

    @Test
    void takenOverSlotStaysInUseAndLateMessagesOfItsFirstUseAreIgnored() {
        SlotBroker broker = broker(BrokerSettings.defaults().withPermits(1), S1);
        SlotGrant first = (SlotGrant) broker.request(slotRequest("r1"), 0).get(0);
        out.addAll(broker.request(slotRequest("r2"), 1));
        out.addAll(broker.request(slotRequest("r3"), 2));
        SlotTakeover takeover = new SlotTakeover(releaseOf(first, Outcome.COMPLETED, 1), "r2", "class", 1000 * MS);
        out.addAll(broker.takeOver(takeover, 3));
        out.addAll(broker.takeOver(takeover, 4));
        out.addAll(broker.release(releaseOf(first, Outcome.COMPLETED, 1), 5));
        out.addAll(broker.request(slotRequest("r2"), 6));
        assertThat(describeDecisions()).containsExactly("r2?", "r3?");
        assertThat(broker.inUse("s1")).isEqualTo(1);
        out.addAll(broker.release(new SlotRelease(first.token().next(), Outcome.COMPLETED, 1), 7));
        assertThat(describeDecisions()).containsExactly("r3@s1");
    }

    @Test
    void grantThatCrossedATakeoverIsFreed() {
        SlotBroker broker = broker(WITHOUT_PERMITS, S1, S2);
        SlotGrant r1 = (SlotGrant) broker.request(slotRequest("r1"), 0).get(0);
        SlotDecision r2 = broker.request(slotRequest("r2"), 0).get(0);
        broker.request(slotRequest("r3"), 1);
        out.addAll(broker.release(releaseOf(r2, Outcome.COMPLETED, 1), 2));
        broker.takeOver(new SlotTakeover(releaseOf(r1, Outcome.COMPLETED, 1), "r3", "class", 1000 * MS), 3);
        out.addAll(broker.request(slotRequest("r4"), 4));
        assertThat(describeDecisions()).containsExactly("r3@s2", "r4@s2");
    }

    @Test
    void backgroundRequestsGetNoPermit() {
        SlotBroker broker = broker(WITHOUT_PERMITS.withPermits(8), S1);
        broker.request(slotRequest("r1"), 0);
        out.addAll(broker.request(slotRequest("l", Priority.BACKGROUND, 1000), 1));
        out.addAll(broker.request(slotRequest("i"), 2));
        assertThat(describeDecisions()).containsExactly("i?");
    }
}
