package org.arbutusfield.share;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A leader that starts together with the whole fleet lends at once; any other waits for its predecessor's shares. */
class FleetRestartTest {
    private static final TeamLimit LIMIT = new TeamLimit(100, 100);
    private static final TeamLimits LIMITS = new TeamLimits() {
        @Override
        public long version() {
            return 1;
        }

        @Override
        public Optional<TeamLimit> limit(String team) {
            return Optional.of(LIMIT);
        }

        @Override
        public boolean any() {
            return true;
        }
    };

    private final VirtualTimer timer = VirtualTimer.create();
    private final long startNanos = timer.nowNanos();
    private final ShareServer server = ShareServer.create(
            () -> OptionalLong.of(startNanos),
            () -> LIMITS,
            ShareTolerance.NONE,
            () -> List.of("a", "b"),
            timer,
            new SplittableRandom(1));
    private long number;

    private Either<Failure, LenderAnswer> report(String host, long uptimeMillis, int wanted) {
        number++;
        long term = server.answer(new HostReport(host, 1, 1, 0, uptimeMillis, List.of()))
                .get()
                .term();
        TeamReport team = new TeamReport("blue", number, 10, 0, 0, 0, wanted, 0, LIMIT);
        return server.answer(new HostReport(host, 1, 1, term, uptimeMillis, List.of(team)));
    }

    private int tokens(String host, long uptimeMillis) {
        return report(host, uptimeMillis, 5).get().teams().stream()
                .mapToInt(TeamGrant::tokens)
                .sum();
    }

    /**
     * Guards against seconds without service after a loss of all processes, and against a leader that lends while an
     * older process, one that has not reported, or one that doesn't tell its age may still hold a share.
     */
    @ParameterizedTest
    @CsvSource({
        "5000, true",
        "10000, true",
        "11000, false",
        "-1, false",
    })
    void leaderLendsOnceAllProcessesThatStartedWithItHaveReported(long uptimeMillis, boolean lends) {
        timer.advance(Duration.ofSeconds(5));
        report("a", 5000, 0);
        timer.advance(Duration.ofMillis(200));
        assertThat(tokens("a", 5200)).isZero();
        report("b", uptimeMillis, 0);
        timer.advance(Duration.ofMillis(200));
        assertThat(tokens("a", 5400) > 0).isEqualTo(lends);
    }

    /** Guards against a leader that restarted alone and registered before the others, after an outage of the store. */
    @Test
    void leaderWaitsUntilOtherHostsHaveHadTimeToRegister() {
        timer.advance(Duration.ofSeconds(4));
        report("a", 4000, 0);
        report("b", 4000, 0);
        timer.advance(Duration.ofMillis(200));
        assertThat(tokens("a", 4200)).isZero();
        timer.advance(Duration.ofMillis(300));
        report("b", 4500, 0);
        timer.advance(Duration.ofMillis(200));
        assertThat(tokens("a", 4700)).isPositive();
    }

    /** Guards against lending more than what accrues after the restart. */
    @Test
    void burstAccruesFromTheRestartOn() {
        timer.advance(Duration.ofSeconds(5));
        report("a", 5000, 0);
        report("b", 5000, 0);
        timer.advance(Duration.ofMillis(30));
        assertThat(tokens("a", 5030)).isLessThanOrEqualTo(3);
    }
}
