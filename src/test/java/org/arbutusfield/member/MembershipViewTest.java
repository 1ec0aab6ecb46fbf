package org.arbutusfield.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipViewTest {
    private static final MembershipLimits LIMITS = MembershipLimits.standard();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @ParameterizedTest(name = "{0}/{1}/{2} over {3}/{4}/{5}: {6}")
    @CsvSource({
        // later: incarnation, refutation, state; earlier: the same; whether the later statement supersedes
        "2, 0, ALIVE,   1, 9, LEAVING, true",
        "2, 0, ALIVE,   1, 9, DEAD,    true",
        "1, 9, ALIVE,   2, 0, ALIVE,   false",
        "1, 9, ALIVE,   1, 0, LEAVING, false",
        "1, 0, LEAVING, 1, 9, ALIVE,   true",
        "1, 0, LEAVING, 1, 9, DEAD,    true",
        "1, 0, LEAVING, 1, 0, LEAVING, false",
        "1, 1, ALIVE,   1, 0, DEAD,    true",
        "1, 0, DEAD,    1, 1, ALIVE,   false",
        "1, 0, SUSPECT, 1, 0, ALIVE,   true",
        "1, 0, DEAD,    1, 0, SUSPECT, true",
        "1, 0, ALIVE,   1, 0, SUSPECT, false",
        "1, 0, ALIVE,   1, 0, ALIVE,   false",
    })
    void statementsAreTotallyOrdered(
            long incarnation,
            int refutation,
            MemberState state,
            long otherIncarnation,
            int otherRefutation,
            MemberState otherState,
            boolean supersedes) {
        Rumour later = rumour("a", incarnation, state, refutation);
        Rumour earlier = rumour("a", otherIncarnation, otherState, otherRefutation);
        assertThat(later.supersedes(earlier)).isEqualTo(supersedes);
        assertThat(later.supersedes(earlier) && earlier.supersedes(later)).isFalse();
    }

    @ParameterizedTest(name = "held {0} {1}, listed {2} {3}: {4}")
    @CsvSource({
        // held: incarnation, state; listed: incarnation, state; state held afterwards
        "5, ALIVE,   5, LEAVING, LEAVING",
        "5, ALIVE,   4, LEAVING, ALIVE",
        "5, DEAD,    5, ALIVE,   DEAD",
        "5, DEAD,    6, ALIVE,   ALIVE",
        "5, LEAVING, 5, ALIVE,   LEAVING",
        "5, LEAVING, 6, ALIVE,   ALIVE",
        "5, SUSPECT, 5, ALIVE,   SUSPECT",
    })
    void theListAndHeartbeatsAreSettledByRule(
            long held, MemberState heldState, long listed, MemberState listedState, MemberState after) {
        MembershipView view = viewOf("self", "a");
        view = view.onTable(List.of(rumour("a", held, heldState, 1)), 0).view();
        view = view.onHostList(List.of(member("a", listed, listedState)), 0).view();
        assertThat(view.find("a").map(Member::state)).contains(after);
    }

    @Test
    void absenceFromTheListRemovesNobody() {
        MembershipView view = viewOf("self", "a").onHostList(List.of(), 0).view();
        assertThat(view.find("a").map(Member::state)).contains(MemberState.ALIVE);
    }

    @Test
    void aSilentPeerIsSuspectedThenDead() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 3, List.of("b"));
        assertThat(view.find("a").map(Member::state)).contains(MemberState.SUSPECT);
        view = run(view, 4, 8, List.of("b"));
        assertThat(view.find("a").map(Member::state)).contains(MemberState.DEAD);
        assertThat(view.find("b").map(Member::state)).contains(MemberState.ALIVE);
    }

    @Test
    void aHostWhosePeersAreAllSilentAccusesNone() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 20, List.of());
        assertThat(view.alive()).hasSize(3);
    }

    @Test
    void aHostThatWasPausedAccusesNone() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 2, List.of("a", "b"));
        view = view.tick(30 * SECOND, RevisionAnnouncement.NONE).view();
        view = view.onResponse(heartbeat("b"), 30 * SECOND).view();
        view = view.tick(31 * SECOND, RevisionAnnouncement.NONE).view();
        assertThat(view.alive()).hasSize(3);
    }

    @Test
    void anAccusedHostRefutes() {
        MembershipView view = viewOf("self", "a");
        Heartbeat accusation = new Heartbeat(
                "a",
                1,
                MemberState.ALIVE,
                0,
                RevisionAnnouncement.NONE,
                0,
                false,
                List.of(rumour("self", 1, MemberState.DEAD, 4)));
        MembershipTransition step = view.onHeartbeat(accusation, 0, RevisionAnnouncement.NONE);
        assertThat(step.urgent()).isTrue();
        assertThat(step.reply().map(Heartbeat::refutation)).contains(5);
        assertThat(step.view().self().state()).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void leavingCannotBeTakenBackInOneIncarnation() {
        MembershipView view = viewOf("self", "a").leave(0).view();
        view = view.onTable(List.of(rumour("self", 1, MemberState.DEAD, 3)), 0).view();
        assertThat(view.self().state()).isEqualTo(MemberState.LEAVING);
        assertThat(view.alive()).extracting(Member::name).containsExactly("a");
    }

    @Test
    void aDeadMemberIsTriedAgainAndComesBackOnceItAnswers() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 12, List.of("b"));
        MembershipTransition tick = view.tick(13 * SECOND, RevisionAnnouncement.NONE);
        assertThat(tick.outgoing()).extracting(o -> o.to().name()).contains("a");
        Heartbeat answer = new Heartbeat("a", 1, MemberState.ALIVE, 1, RevisionAnnouncement.NONE, 0, false, List.of());
        assertThat(tick.view().onResponse(answer, 13 * SECOND).view().alive()).hasSize(3);
    }

    @Test
    void aPeerWhoseTableStaysDifferentIsRead() {
        MembershipView view = run(viewOf("self", "a"), 0, 5, List.of("a"));
        Heartbeat other = new Heartbeat("a", 1, MemberState.ALIVE, 0, RevisionAnnouncement.NONE, 77, false, List.of());
        List<String> read = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            MembershipTransition step = view.onResponse(other, 9 * SECOND);
            step.syncWith().ifPresent(peer -> read.add(peer.name()));
            view = step.view();
        }
        assertThat(read).containsExactly("a");
    }

    @Test
    void inAFloodOfNewsTheQueueIsBoundedAndLeavingGoesFirst() {
        MembershipView view = viewOf("self", "a");
        for (int i = 0; i < 1000; i++) {
            view = view.onHostList(List.of(member("h" + i, 1, MemberState.ALIVE)), 0)
                    .view();
        }
        view = view.onHostList(List.of(member("h500", 1, MemberState.LEAVING)), 0)
                .view();
        MembershipTransition step = view.flush(0, RevisionAnnouncement.NONE);
        assertThat(step.outgoing()).allSatisfy(outgoing -> {
            assertThat(outgoing.heartbeat().rumours()).hasSize(LIMITS.maxRumours());
            assertThat(outgoing.heartbeat().rumours().get(0).member().name()).isEqualTo("h500");
        });
        int rounds = 0;
        while (!step.outgoing().get(0).heartbeat().rumours().isEmpty()) {
            step = step.view().flush(0, RevisionAnnouncement.NONE);
            rounds++;
        }
        assertThat(rounds).isLessThanOrEqualTo(LIMITS.maxQueued() / LIMITS.maxRumours() + 1);
    }

    @ParameterizedTest
    @CsvSource({"2", "18", "100", "1000", "6300"})
    void messagesPerRoundDoNotGrowWithTheFleet(int hosts) {
        MemberTable table = MemberTable.empty();
        for (int i = 0; i < hosts; i++) {
            table = table.with(rumour("h" + i, 1, MemberState.ALIVE, 0));
        }
        Member self = member("h0", 1, MemberState.ALIVE);
        MembershipTransition step =
                MembershipView.start(self, table, LIMITS, 0).tick(SECOND, RevisionAnnouncement.NONE);
        assertThat(step.outgoing())
                .hasSizeBetween(1, LIMITS.domainRings() + LIMITS.globalRings())
                .noneMatch(outgoing -> outgoing.to().name().equals("h0"));
    }

    @Test
    void tablesOfTheSameMembersHaveTheSameDigestsInAnyOrder() {
        List<Rumour> rumours = IntStream.range(0, 500)
                .mapToObj(i -> rumour("h" + i, 1 + i % 3, i % 7 == 0 ? MemberState.DEAD : MemberState.ALIVE, i % 2))
                .toList();
        MemberTable forwards = MemberTable.empty();
        MemberTable backwards = MemberTable.empty();
        for (int i = 0; i < rumours.size(); i++) {
            forwards = forwards.with(rumours.get(i));
            backwards = backwards.with(rumours.get(rumours.size() - 1 - i));
        }
        assertThat(forwards.bucketDigests()).isEqualTo(backwards.bucketDigests());
        assertThat(forwards.digest()).isEqualTo(backwards.digest());
        MemberTable changed = forwards.without("h8");
        assertThat(changed.differing(forwards.bucketDigests(), 1000)).hasSizeLessThan(500 / 16);
        assertThat(forwards.differing(changed.bucketDigests(), 1000))
                .extracting(r -> r.member().name())
                .contains("h8");
    }

    private static MembershipView run(MembershipView view, int from, int to, List<String> answering) {
        MembershipView current = view;
        for (int second = from; second <= to; second++) {
            current = current.tick(second * SECOND, RevisionAnnouncement.NONE).view();
            for (String name : answering) {
                current = current.onResponse(heartbeat(name), second * SECOND).view();
            }
        }
        return current;
    }

    private static MembershipView viewOf(String self, String... others) {
        MembershipView view = MembershipView.start(member(self, 1, MemberState.ALIVE), LIMITS, 0);
        for (String other : others) {
            view = view.onTable(List.of(rumour(other, 1, MemberState.ALIVE, 0)), 0)
                    .view();
        }
        return view;
    }

    private static Heartbeat heartbeat(String name) {
        return new Heartbeat(name, 1, MemberState.ALIVE, 0, RevisionAnnouncement.NONE, 0, false, List.of());
    }

    private static Rumour rumour(String name, long incarnation, MemberState state, int refutation) {
        return new Rumour(member(name, incarnation, state), refutation);
    }

    private static Member member(String name, long incarnation, MemberState state) {
        return new Member(name, "gulf", "gulf-a", "127.0.0.1", 8080, 8081, incarnation, state);
    }
}
