package org.arbutusfield.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.wire.EnvelopeCodec;
import org.arbutusfield.wire.EnvelopeKind;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.api.Test;

/** What callers, and the network, notice of the limits of teams. */
class ShareClientTest {
    private static final TeamLimit LIMIT = new TeamLimit(20, 40);

    private static ShareFleet fleet(TeamLimit limit) {
        ShareFleet fleet = new ShareFleet(1, 3, limit, ShareTolerance.NONE);
        fleet.timer.advance(Duration.ofSeconds(12));
        return fleet;
    }

    /** Guards against requests that each wait for the leader. */
    @Test
    void firstRequestWaitsForOneRoundTripAndLaterOnesForNone() {
        ShareFleet fleet = fleet(LIMIT);
        fleet.request(1);
        assertThat(fleet.sent).isEmpty();
        fleet.timer.advance(Duration.ofMillis(30));
        assertThat(fleet.sent).hasSize(1);
        for (int i = 0; i < 20; i++) {
            fleet.timer.advance(Duration.ofMillis(1500));
            int before = fleet.sent.size();
            fleet.request(1);
            assertThat(fleet.sent).as("request %d", i).hasSize(before + 1);
        }
    }

    /** Guards against a burst of which only the first request asks for a token. */
    @Test
    void burstIsSentAfterTwoRoundTrips() {
        ShareFleet fleet = fleet(LIMIT);
        for (int i = 0; i < 30; i++) {
            fleet.request(1);
        }
        fleet.timer.advance(Duration.ofMillis(60));
        assertThat(fleet.sent).hasSize(30);
    }

    /** Guards against messages and timers where no team has a limit, and after callers have gone. */
    @Test
    void nothingIsSentWithoutLimitsOrCallers() {
        ShareFleet fleet = fleet(new TeamLimit(0, 0));
        fleet.request(1);
        fleet.timer.advance(Duration.ofSeconds(1));
        assertThat(fleet.messages).isZero();
        assertThat(fleet.sent).hasSize(1);
        assertThat(fleet.timer.step()).isFalse();
    }

    /** Guards against a wrong refusal: a used-up limit is 429, an unknown leader 503, both with a time to retry. */
    @Test
    void refusalTellsTheReason() {
        ShareFleet fleet = fleet(new TeamLimit(1, 1));
        for (int i = 0; i < 5; i++) {
            fleet.request(1);
        }
        fleet.timer.advance(Duration.ofMillis(200));
        assertThat(fleet.hosts.get(1).refusals).isNotEmpty().allSatisfy(failure -> {
            assertThat(failure.code()).isEqualTo(ErrorCode.TEAM_LIMIT);
            assertThat(failure.retryAfter()).isPresent();
        });
        fleet.hosts.get(0).cut = true;
        fleet.timer.advance(Duration.ofSeconds(10));
        fleet.request(2);
        fleet.timer.advance(Duration.ofMillis(200));
        assertThat(fleet.hosts.get(2).refusals)
                .singleElement()
                .satisfies(failure -> assertThat(failure.code()).isEqualTo(ErrorCode.TEAM_SHARE_UNAVAILABLE));
    }

    /** Message sizes, and the lender's work for one report, at the present number of hosts and teams. Prints both. */
    @Test
    void workOfTheLeaderAtPresentScale() {
        int hosts = 121;
        int teams = 80;
        List<TeamLedger> ledgers = new ArrayList<>();
        for (int t = 0; t < teams; t++) {
            ledgers.add(TeamLedger.create(new TeamLimit(100, 200), ShareTolerance.NONE, -20_000_000_000L, 0));
        }
        long number = 0;
        int rounds = 60;
        int reports = 0;
        long start = System.nanoTime();
        for (int round = 0; round < rounds; round++) {
            number++;
            for (int h = 0; h < hosts; h++) {
                long now = round * 500_000_000L + h * 4_000_000L;
                for (TeamLedger ledger : ledgers) {
                    TeamReport report = new TeamReport(
                            "team-name-12", number, 1 + h % 7, 0.5, 1.2, 7000, 0, 0, new TeamLimit(100, 200));
                    reports +=
                            ledger.answer("h" + h, 1, true, true, report, now).isPresent() ? 1 : 0;
                }
            }
        }
        long nanos = System.nanoTime() - start;
        TeamReport one = new TeamReport("team-name-12", 123456, 1.5, 0.5, 1.2, 7000, 1, 0.5, LIMIT);
        TeamGrant grant = new TeamGrant("team-name-12", 123456, 0.5, 1.2, 0, 1, Duration.ofSeconds(1), LIMIT);
        System.out.println("work per team report " + nanos / reports + " ns; sizes: report of 1 team " + size(one, 1)
                + ", of 80 " + size(one, teams) + ", answer of 1 " + size(grant, 1) + ", of 80 " + size(grant, teams));
        assertThat(reports).isEqualTo(rounds * hosts * teams);
        assertThat(size(one, teams)).isLessThan(10_000);
    }

    private static int size(TeamReport report, int teams) {
        HostReport host = new HostReport(
                "host-name-12", 1_700_000_000_000L, 12, -7_000_000_000_000_000L, 90_000, copies(report, teams));
        return size(ControlMessage.shareReport(host.encode()));
    }

    private static int size(TeamGrant grant, int teams) {
        return size(ControlMessage.shareAnswer(
                new LenderAnswer(12, -7_000_000_000_000_000L, copies(grant, teams)).encode()));
    }

    private static <T> List<T> copies(T value, int count) {
        return java.util.Collections.nCopies(count, value);
    }

    private static int size(ControlMessage message) {
        return EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.REQUEST, 7, message))
                .get()
                .length;
    }

    /** Guards against a page for operators that lacks a team, or counts wrongly. */
    @Test
    void snapshotsTellWhatIsHeldAndLent() {
        ShareFleet fleet = fleet(LIMIT);
        fleet.request(1);
        fleet.timer.advance(Duration.ofMillis(200));
        assertThat(fleet.hosts.get(1).client.snapshot()).singleElement().satisfies(view -> {
            assertThat(view.asked()).isEqualTo(1);
            assertThat(view.allowed()).isEqualTo(1);
            assertThat(view.rate()).isPositive();
            assertThat(view.lender()).isEqualTo(Optional.of("h0"));
        });
        assertThat(fleet.hosts.get(0).server.snapshot())
                .singleElement()
                .satisfies(view -> assertThat(view.rate()).isPositive());
        assertThat(fleet.hosts.get(2).server.snapshot()).isEmpty();
    }
}
