package org.arbutusfield.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.admission.SlotToken;
import org.arbutusfield.admission.SlotUse;
import org.arbutusfield.admission.UpstreamSlots;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GroupHealthTest {
    private static final long MS = 1_000_000;
    private static final SlotToken TOKEN = SlotToken.of("h0", 1, 1);

    private final GroupHealth health = GroupHealth.create();
    private long now;

    private void record(String upstream, String requestClass, Outcome outcome, long millis, int times) {
        for (int i = 0; i < times; i++) {
            now += 10 * MS;
            health.record(new SlotUse(upstream, requestClass), new SlotRelease(TOKEN, outcome, millis * MS), now);
        }
    }

    private int slotLimit(String upstream) {
        return GroupHealth.slotLimit(health.shares(now), new UpstreamSlots(upstream, "a", 3, false));
    }

    private void healthyGroup() {
        for (int round = 0; round < 40; round++) {
            record("s1", "quote", Outcome.COMPLETED, 50, 1);
            record("s2", "quote", Outcome.COMPLETED, 50, 1);
            record("s3", "quote", Outcome.COMPLETED, 50, 1);
            record("s4", "quote", Outcome.COMPLETED, 50, 1);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "COMPLETED, 50, 3",
        "SHED, 0, 3",
        "CANCELLED, 0, 3",
        "FAILED, 0, 0",
        "COMPLETED, 600, 0",
    })
    void onlyAFailingOrSlowUpstreamLosesItsSlots(Outcome outcome, long millis, int expected) {
        healthyGroup();
        record("s1", "quote", outcome, millis, 20);
        assertThat(slotLimit("s1")).isEqualTo(expected);
        assertThat(slotLimit("s2")).isEqualTo(3);
    }

    @Test
    void longDownloadsDoNotMakeAnUpstreamCountAsSlow() {
        healthyGroup();
        record("s1", "download", Outcome.COMPLETED, 5000, 40);
        assertThat(slotLimit("s1")).isEqualTo(3);
    }

    @Test
    void variableLatencyOfAllUpstreamsMakesNoneCountAsSlow() {
        healthyGroup();
        for (int round = 0; round < 60; round++) {
            for (String upstream : new String[] {"s1", "s2", "s3", "s4"}) {
                record(upstream, "quote", Outcome.COMPLETED, round % 2 == 0 ? 50 : 400, 1);
            }
        }
        assertThat(slotLimit("s1") + slotLimit("s2") + slotLimit("s3") + slotLimit("s4"))
                .isEqualTo(12);
    }

    @Test
    void ejectedUpstreamIsProbedWithOneSlotAndRestored() {
        healthyGroup();
        record("s1", "quote", Outcome.FAILED, 0, 10);
        assertThat(slotLimit("s1")).isZero();
        now += 2_100 * MS;
        assertThat(slotLimit("s1")).isEqualTo(1);
        record("s1", "quote", Outcome.COMPLETED, 50, 60);
        assertThat(slotLimit("s1")).isEqualTo(3);
    }

    @Test
    void panicThresholdKeepsSlotsUsableWhenAllUpstreamsFail() {
        healthyGroup();
        for (String upstream : new String[] {"s1", "s2", "s3", "s4"}) {
            record(upstream, "quote", Outcome.FAILED, 0, 10);
        }
        int usable = slotLimit("s1") + slotLimit("s2") + slotLimit("s3") + slotLimit("s4");
        assertThat(usable).isGreaterThanOrEqualTo(2);
    }

    @Test
    void upstreamWithoutHistoryKeepsAllItsSlots() {
        assertThat(slotLimit("s9")).isEqualTo(3);
    }
}
