package org.arbutusfield.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotRelease.Outcome;
import org.arbutusfield.admission.SlotServer;
import org.arbutusfield.admission.SlotToken;
import org.arbutusfield.admission.SlotUse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GroupHealthTest {
    private static final long MS = 1_000_000;
    private static final SlotToken TOKEN = SlotToken.of("h0", 1, 1);

    private final GroupHealth health = GroupHealth.create();
    private long now;

    private void note(String upstream, String requestClass, Outcome outcome, long millis, int times) {
        for (int i = 0; i < times; i++) {
            now += 10 * MS;
            health.note(new SlotUse(upstream, requestClass), new SlotRelease(TOKEN, outcome, millis * MS), now);
        }
    }

    private int limit(String upstream) {
        return GroupHealth.limit(health.shares(now), new SlotServer(upstream, "a", 3, false));
    }

    private void healthyGroup() {
        for (int round = 0; round < 40; round++) {
            note("s1", "quote", Outcome.COMPLETED, 50, 1);
            note("s2", "quote", Outcome.COMPLETED, 50, 1);
            note("s3", "quote", Outcome.COMPLETED, 50, 1);
            note("s4", "quote", Outcome.COMPLETED, 50, 1);
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
    void oneBadServerLosesItsSlotsAndTheOthersKeepTheirs(Outcome outcome, long millis, int expected) {
        healthyGroup();
        note("s1", "quote", outcome, millis, 20);
        assertThat(limit("s1")).isEqualTo(expected);
        assertThat(limit("s2")).isEqualTo(3);
    }

    @Test
    void longDownloadsDoNotMakeAServerSlow() {
        healthyGroup();
        note("s1", "download", Outcome.COMPLETED, 5000, 40);
        assertThat(limit("s1")).isEqualTo(3);
    }

    @Test
    void unevenAnswersOfAllServersMakeNoneOfThemSlow() {
        healthyGroup();
        for (int round = 0; round < 60; round++) {
            for (String server : new String[] {"s1", "s2", "s3", "s4"}) {
                note(server, "quote", Outcome.COMPLETED, round % 2 == 0 ? 50 : 400, 1);
            }
        }
        assertThat(limit("s1") + limit("s2") + limit("s3") + limit("s4")).isEqualTo(12);
    }

    @Test
    void anEjectedServerIsProbedWithOneSlotAndComesBack() {
        healthyGroup();
        note("s1", "quote", Outcome.FAILED, 0, 10);
        assertThat(limit("s1")).isZero();
        now += 2_100 * MS;
        assertThat(limit("s1")).isEqualTo(1);
        note("s1", "quote", Outcome.COMPLETED, 50, 60);
        assertThat(limit("s1")).isEqualTo(3);
    }

    @Test
    void theFloorKeepsAGroupInWorkWhenAllLookDead() {
        healthyGroup();
        for (String server : new String[] {"s1", "s2", "s3", "s4"}) {
            note(server, "quote", Outcome.FAILED, 0, 10);
        }
        int usable = limit("s1") + limit("s2") + limit("s3") + limit("s4");
        assertThat(usable).isGreaterThanOrEqualTo(2);
    }

    @Test
    void aServerWithoutHistoryMayUseAllItsSlots() {
        assertThat(limit("s9")).isEqualTo(3);
    }
}
