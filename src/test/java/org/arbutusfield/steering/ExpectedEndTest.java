package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.UpstreamNotice;
import org.arbutusfield.state.LiveUpstream;
import org.junit.jupiter.api.Test;

/** Single decisions, each of which guards against one fault of the rules. */
class ExpectedEndTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double WORK = 0.25;
    private static final double NO_LIMIT = Double.MAX_VALUE;
    private static final LiveUpstream UPSTREAM = new LiveUpstream(
            new Upstream("u", "s", "d", "127.0.0.1", 1, 6, 10), "r", 0, 0, 1, WeightedRendezvous.hash("u"));

    private final UpstreamLoadKnowledge knowledge = UpstreamLoadKnowledge.create();

    private void states(int running, int waiting, long nanos) {
        knowledge.heard(UPSTREAM, new UpstreamNotice.Load(running, waiting, 6, OptionalDouble.of(1)), nanos);
    }

    private ExpectedEnd.Place place(long nanos) {
        return ExpectedEnd.place(knowledge.of(UPSTREAM, nanos), WORK, WORK);
    }

    private static ExpectedEnd.Action decide(ExpectedEnd.Place home, double remaining, double permittedWait) {
        return ExpectedEnd.decide(home, List.of(), new ExpectedEnd.Demand(remaining, permittedWait))
                .action();
    }

    @Test
    void requestThatCannotEndInTimeIsRefused() {
        states(6, 18, SECOND);
        assertThat(decide(place(SECOND), 0.8, NO_LIMIT)).isEqualTo(ExpectedEnd.Action.REFUSE_DEADLINE);
        assertThat(decide(place(SECOND), 1.5, NO_LIMIT)).isEqualTo(ExpectedEnd.Action.HOME);
    }

    /** Guards against the age being ignored: the queue of a second ago is gone, so nothing may be refused for it. */
    @Test
    void queueOfAnOldStatementIsNoReasonToRefuse() {
        states(6, 18, SECOND);
        assertThat(decide(place(3 * SECOND), 0.3, 0)).isEqualTo(ExpectedEnd.Action.HOME);
        assertThat(place(3 * SECOND).known()).isFalse();
        assertThat(place(SECOND + SECOND / 4).delay()).isLessThan(place(SECOND).delay());
    }

    /** Guards against a refusal although a slot is free. */
    @Test
    void freeSlotIsUsedByEachRank() {
        states(5, 0, SECOND);
        assertThat(decide(place(SECOND), 1.5, 0)).isEqualTo(ExpectedEnd.Action.HOME);
    }

    /** Guards against the rank being ignored. */
    @Test
    void lessUrgentRequestIsNotLetIntoAQueueThatTheUrgentMayUse() {
        states(6, 12, SECOND);
        RankShares shares = RankShares.create();
        for (int i = 0; i < 20; i++) {
            shares.asked(0, 0.1, SECOND);
            shares.admitted(0);
            shares.asked(2, 1, SECOND);
            shares.admitted(2);
        }
        assertThat(decide(place(SECOND), 1.5, shares.permittedWait(0, SECOND))).isEqualTo(ExpectedEnd.Action.HOME);
        assertThat(decide(place(SECOND), 1.5, shares.permittedWait(2, SECOND)))
                .isEqualTo(ExpectedEnd.Action.REFUSE_RANK);
    }

    /** Guards against a rank that is never served while more urgent ones take all. */
    @Test
    void starvedRankIsExceptedFromTheRankRule() {
        RankShares shares = RankShares.create();
        for (int i = 0; i < 20; i++) {
            shares.asked(0, 0.1, SECOND);
            shares.admitted(0);
            shares.asked(2, 1, SECOND);
        }
        assertThat(shares.permittedWait(2, SECOND)).isEqualTo(NO_LIMIT);
    }

    /** Guards against room that is counted twice: requests sent since the statement take the slots that it named. */
    @Test
    void requestsSentSinceTheStatementTakeItsRoom() {
        states(4, 0, SECOND);
        assertThat(place(SECOND).delay()).isZero();
        knowledge.sent(UPSTREAM, SECOND + 1);
        knowledge.sent(UPSTREAM, SECOND + 2);
        assertThat(place(SECOND + 2).delay()).isPositive();
        knowledge.ended(UPSTREAM, SECOND + 2);
        assertThat(place(SECOND + 2).delay()).isZero();
    }

    /** Guards against a move to an upstream that is itself occupied, and against one that isn't needed. */
    @Test
    void requestMovesOnlyIfItCannotEndAtHomeAndOnlyToMuchRoom() {
        ExpectedEnd.Place busyHome = new ExpectedEnd.Place(2, WORK, true, 4);
        ExpectedEnd.Place occupied = new ExpectedEnd.Place(0, 0.84, true, 0.9);
        ExpectedEnd.Place free = new ExpectedEnd.Place(0, 0.84, true, 0.2);
        ExpectedEnd.Demand demand = new ExpectedEnd.Demand(1.5, NO_LIMIT);
        assertThat(ExpectedEnd.decide(busyHome, List.of(occupied), demand).action())
                .isEqualTo(ExpectedEnd.Action.REFUSE_DEADLINE);
        assertThat(ExpectedEnd.decide(busyHome, List.of(occupied, free), demand))
                .isEqualTo(new ExpectedEnd.Verdict(ExpectedEnd.Action.ALTERNATIVE, 1, 0));
        ExpectedEnd.Place home = new ExpectedEnd.Place(0.5, WORK, true, 2);
        assertThat(ExpectedEnd.decide(home, List.of(free), demand).action()).isEqualTo(ExpectedEnd.Action.HOME);
    }

    /** Guards against statements of an earlier start, or older ones that arrive later, replacing newer ones. */
    @Test
    void newestStatementOfTheLatestStartCounts() {
        states(6, 18, 2 * SECOND);
        states(0, 0, SECOND);
        assertThat(place(2 * SECOND).delay()).isPositive();
        LiveUpstream next = new LiveUpstream(UPSTREAM.upstream(), "r", 0, 0, 2, UPSTREAM.nameHash());
        assertThat(knowledge.of(next, 2 * SECOND)).isEqualTo(Optional.empty());
        knowledge.heard(next, new UpstreamNotice.Load(1, 0, 6, OptionalDouble.empty()), 3 * SECOND);
        states(6, 18, 4 * SECOND);
        assertThat(knowledge.of(next, 4 * SECOND).orElseThrow().ahead()).isEqualTo(1);
    }

    /** Guards against an upstream so slow that each request is cut, which states nothing and gets all of them. */
    @Test
    void cutRequestsTellOfASlowUpstream() {
        states(0, 0, SECOND);
        knowledge.cut(UPSTREAM, 6, 2 * SECOND);
        assertThat(decide(place(2 * SECOND), 1, NO_LIMIT)).isEqualTo(ExpectedEnd.Action.REFUSE_DEADLINE);
        assertThat(decide(place(8 * SECOND), 1, NO_LIMIT)).isEqualTo(ExpectedEnd.Action.HOME);
    }

    /** Guards against a failure when the first request of a rank that is reviewed is a repeat, which never asked. */
    @Test
    void rankThatNeverAskedMayWait() {
        assertThat(RankShares.create().permittedWait(2, 0)).isEqualTo(Double.MAX_VALUE);
    }
}
