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
    private static final MembershipLimits LIMITS = MembershipLimits.defaults();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @ParameterizedTest(name = "{0}/{1}/{2} over {3}/{4}/{5}: {6}")
    @CsvSource({
        // first: incarnation, refutation, state; second: the same; whether the first supersedes the second
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
    void rumoursAreTotallyOrdered(
            long incarnation,
            int refutation,
            MemberState state,
            long otherIncarnation,
            int otherRefutation,
            MemberState otherState,
            boolean supersedes) {
        Rumour first = rumour("a", incarnation, state, refutation);
        Rumour second = rumour("a", otherIncarnation, otherState, otherRefutation);
        assertThat(first.supersedes(second)).isEqualTo(supersedes);
        assertThat(first.supersedes(second) && second.supersedes(first)).isFalse();
    }

    @ParameterizedTest(name = "known {0} {1}, listed {2} {3}: {4}")
    @CsvSource({
        // known: incarnation, state; listed: incarnation, state; merged state
        "5, ALIVE,   5, LEAVING, LEAVING",
        "5, ALIVE,   4, LEAVING, ALIVE",
        "5, DEAD,    5, ALIVE,   DEAD",
        "5, DEAD,    6, ALIVE,   ALIVE",
        "5, LEAVING, 5, ALIVE,   LEAVING",
        "5, LEAVING, 6, ALIVE,   ALIVE",
        "5, SUSPECT, 5, ALIVE,   SUSPECT",
    })
    void listedStateIsMergedByRumourOrder(
            long known, MemberState knownState, long listed, MemberState listedState, MemberState merged) {
        MembershipView view = viewOf("self", "a");
        view = view.onTable(List.of(rumour("a", known, knownState, 1)), 0).view();
        view = view.onHostList(List.of(member("a", listed, listedState)), 0).view();
        assertThat(view.find("a").map(Member::state)).contains(merged);
    }

    @Test
    void absenceFromHostListRemovesNoMember() {
        MembershipView view = viewOf("self", "a").onHostList(List.of(), 0).view();
        assertThat(view.find("a").map(Member::state)).contains(MemberState.ALIVE);
    }

    @Test
    void silentPeerBecomesSuspectThenDead() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 3, List.of("b"));
        assertThat(view.find("a").map(Member::state)).contains(MemberState.SUSPECT);
        view = run(view, 4, 8, List.of("b"));
        assertThat(view.find("a").map(Member::state)).contains(MemberState.DEAD);
        assertThat(view.find("b").map(Member::state)).contains(MemberState.ALIVE);
    }

    @Test
    void hostWithOnlySilentPeersSuspectsNone() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 20, List.of());
        assertThat(view.alive()).hasSize(3);
    }

    @Test
    void pausedHostSuspectsNone() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 2, List.of("a", "b"));
        view = view.tick(30 * SECOND, RevisionAnnouncement.NONE).view();
        view = view.onResponse(heartbeat("b"), 30 * SECOND).view();
        view = view.tick(31 * SECOND, RevisionAnnouncement.NONE).view();
        assertThat(view.alive()).hasSize(3);
    }

    @Test
    void hostReportedDeadRefutes() {
        MembershipView view = viewOf("self", "a");
        Heartbeat report = new Heartbeat(
                "a",
                1,
                MemberState.ALIVE,
                0,
                RevisionAnnouncement.NONE,
                0,
                false,
                List.of(rumour("self", 1, MemberState.DEAD, 4)));
        MembershipTransition transition = view.onHeartbeat(report, 0, RevisionAnnouncement.NONE);
        assertThat(transition.urgent()).isTrue();
        assertThat(transition.reply().map(Heartbeat::refutation)).contains(5);
        assertThat(transition.view().self().state()).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void leavingIsFinalWithinAnIncarnation() {
        MembershipView view = viewOf("self", "a").leave(0).view();
        view = view.onTable(List.of(rumour("self", 1, MemberState.DEAD, 3)), 0).view();
        assertThat(view.self().state()).isEqualTo(MemberState.LEAVING);
        assertThat(view.alive()).extracting(Member::name).containsExactly("a");
    }

    @Test
    void deadMemberIsProbedAndBecomesAliveWhenItResponds() {
        MembershipView view = run(viewOf("self", "a", "b"), 0, 12, List.of("b"));
        MembershipTransition tick = view.tick(13 * SECOND, RevisionAnnouncement.NONE);
        assertThat(tick.outgoing()).extracting(o -> o.to().name()).contains("a");
        Heartbeat response =
                new Heartbeat("a", 1, MemberState.ALIVE, 1, RevisionAnnouncement.NONE, 0, false, List.of());
        assertThat(tick.view().onResponse(response, 13 * SECOND).view().alive()).hasSize(3);
    }

    @Test
    void peerWithDifferingTableIsSynchronized() {
        MembershipView view = run(viewOf("self", "a"), 0, 5, List.of("a"));
        Heartbeat other = new Heartbeat("a", 1, MemberState.ALIVE, 0, RevisionAnnouncement.NONE, 77, false, List.of());
        List<String> synchronizedWith = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            MembershipTransition transition = view.onResponse(other, 9 * SECOND);
            transition.syncWith().ifPresent(peer -> synchronizedWith.add(peer.name()));
            view = transition.view();
        }
        assertThat(synchronizedWith).containsExactly("a");
    }

    @Test
    void rumourQueueIsBoundedAndLeavingMembersGoFirst() {
        MembershipView view = viewOf("self", "a");
        for (int i = 0; i < 1000; i++) {
            view = view.onHostList(List.of(member("h" + i, 1, MemberState.ALIVE)), 0)
                    .view();
        }
        view = view.onHostList(List.of(member("h500", 1, MemberState.LEAVING)), 0)
                .view();
        MembershipTransition transition = view.flush(0, RevisionAnnouncement.NONE);
        assertThat(transition.outgoing()).allSatisfy(outgoing -> {
            assertThat(outgoing.heartbeat().rumours()).hasSize(LIMITS.maxRumours());
            assertThat(outgoing.heartbeat().rumours().get(0).member().name()).isEqualTo("h500");
        });
        int rounds = 0;
        while (!transition.outgoing().get(0).heartbeat().rumours().isEmpty()) {
            transition = transition.view().flush(0, RevisionAnnouncement.NONE);
            rounds++;
        }
        assertThat(rounds).isLessThanOrEqualTo(LIMITS.maxQueued() / LIMITS.maxRumours() + 1);
    }

    @ParameterizedTest
    @CsvSource({"2", "18", "100", "1000", "6300"})
    void messagesPerRoundDoNotGrowWithFleetSize(int hosts) {
        MemberTable table = MemberTable.empty();
        for (int i = 0; i < hosts; i++) {
            table = table.with(rumour("h" + i, 1, MemberState.ALIVE, 0));
        }
        Member self = member("h0", 1, MemberState.ALIVE);
        MembershipTransition transition =
                MembershipView.start(self, table, LIMITS, 0).tick(SECOND, RevisionAnnouncement.NONE);
        assertThat(transition.outgoing())
                .hasSizeBetween(1, LIMITS.domainRings() + LIMITS.globalRings())
                .noneMatch(outgoing -> outgoing.to().name().equals("h0"));
    }

    @Test
    void tableDigestsDoNotDependOnOrder() {
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

    private static MembershipView run(MembershipView view, int from, int to, List<String> responding) {
        MembershipView current = view;
        for (int second = from; second <= to; second++) {
            current = current.tick(second * SECOND, RevisionAnnouncement.NONE).view();
            for (String name : responding) {
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
