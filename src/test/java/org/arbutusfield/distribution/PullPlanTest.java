package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import org.arbutusfield.lab.control.VirtualHost;
import org.arbutusfield.member.Member;
import org.junit.jupiter.api.Test;

class PullPlanTest {
    private static final Member A = VirtualHost.member("gulf", "gulf-a", 1, 1);
    private static final Member B = VirtualHost.member("gulf", "gulf-a", 2, 1);
    private static final RevisionId SEVEN = new RevisionId(7, "07");
    private static final RevisionId EIGHT = new RevisionId(8, "08");

    @Test
    void onlyNewerRevisionIsRead() {
        PullPlan plan = PullPlan.idle().announced(A, SEVEN, 7).announced(B, SEVEN, 8);
        assertThat(plan.next(7, 0)).isEmpty();
        assertThat(PullPlan.idle().announced(A, SEVEN, 6).next(7, 0)).isEmpty();
    }

    @Test
    void newestRevisionIsReadOneReadAtATime() {
        PullPlan plan =
                PullPlan.idle().announced(A, SEVEN, 6).announced(B, EIGHT, 6).announced(A, SEVEN, 6);
        PullPlan.Holder first = plan.next(6, 0).orElseThrow();
        assertThat(first).isEqualTo(new PullPlan.Holder(B, EIGHT));
        assertThat(plan.started(first, 0).next(6, 1)).isEmpty();
        assertThat(plan.started(first, 0).finished(first, true).next(8, 2)).isEmpty();
    }

    @Test
    void failedReadMovesToNextHolderAndFailedHolderMayAnnounceAgain() {
        PullPlan plan = PullPlan.idle().announced(A, EIGHT, 6).announced(B, EIGHT, 6);
        PullPlan.Holder first = plan.next(6, 0).orElseThrow();
        plan = plan.started(first, 0).finished(first, false);
        PullPlan.Holder second = plan.next(6, 1).orElseThrow();
        assertThat(second.peer()).isEqualTo(B);
        plan = plan.started(second, 1).finished(second, false);
        assertThat(plan.next(6, 2)).isEmpty();
        assertThat(plan.announced(A, EIGHT, 6).next(6, 3)).contains(first);
    }

    @Test
    void overdueReadDoesNotBlockNextRead() {
        PullPlan plan = PullPlan.idle().announced(A, EIGHT, 6).announced(B, EIGHT, 6);
        plan = plan.started(plan.next(6, 0).orElseThrow(), 0);
        long overdue = PullPlan.READ_TIMEOUT.toNanos();
        assertThat(plan.next(6, overdue - 1)).isEmpty();
        assertThat(plan.next(6, overdue).map(PullPlan.Holder::peer)).contains(B);
    }
}
