package org.arbutusfield.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.Test;

/** The rate at which the leader counts when hosts believe in different ones. */
class QuotaServerTest {
    private static final UpstreamStart UPSTREAM = new UpstreamStart("u", 7);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS = 400;
    private static final double SECONDS = STEP.toMillis() * STEPS / 1000.0;

    private final VirtualTimer timer = VirtualTimer.create();
    private final List<UpstreamLimit> announced = new ArrayList<>();
    private OptionalLong termStart = OptionalLong.of(0);
    private final QuotaServer server = QuotaServer.start(() -> termStart, announced::add, timer, new Random(1));

    private UpstreamLimit named(double perSecond) {
        return server.report(new UpstreamLimit(UPSTREAM, OptionalDouble.of(perSecond), Optional.empty()))
                .get();
    }

    private QuotaDecision decide(QuotaQuestion question) {
        return server.decide(question).get();
    }

    /** Asks as often as it can, each time with another one of the questions; returns how many requests may be sent. */
    private int granted(QuotaQuestion... questions) {
        int granted = 0;
        for (int i = 0; i < STEPS; i++) {
            granted += decide(questions[i % questions.length]).granted() ? 1 : 0;
            timer.advance(STEP);
        }
        return granted;
    }

    private static double most(double perSecond) {
        return TokenBucket.CAPACITY + perSecond * SECONDS;
    }

    /** Guards against a host that has heard an earlier, higher limit, and lets the bucket run at that rate for all. */
    @Test
    void leaderCountsAtTheLimitInForceWhateverTheHostBelieves() {
        UpstreamLimit earlier = named(8);
        named(1);
        QuotaQuestion behind = QuotaQuestion.of(earlier, OptionalDouble.empty());
        QuotaQuestion current = QuotaQuestion.of(server.report(earlier).get(), OptionalDouble.empty());
        assertThat((double) granted(behind, current)).isBetween(SECONDS - 1, most(1));
        assertThat(decide(behind).limit().orElseThrow().perSecond()).hasValue(1);
    }

    /** Guards against a host that knows only that the upstream is cold, and lets the bucket run at the cold rate. */
    @Test
    void hostThatKnowsOnlyTheColdRateIsBoundByTheLimit() {
        named(1);
        QuotaQuestion coldOnly = QuotaQuestion.of(UpstreamLimit.none(UPSTREAM), OptionalDouble.of(7.6));
        assertThat((double) granted(coldOnly)).isLessThanOrEqualTo(most(1));
        assertThat((double) granted(new QuotaQuestion("u", 7.6, Optional.empty(), OptionalDouble.empty())))
                .as("older build")
                .isLessThanOrEqualTo(most(1));
    }

    /** Guards against tokens that accrue at the higher of two rates, while one host asks with each of them. */
    @Test
    void tokensAccrueAtTheLowerRateBetweenTwoQuestions() {
        QuotaQuestion high = new QuotaQuestion("u", 8, Optional.empty(), OptionalDouble.empty());
        QuotaQuestion low = new QuotaQuestion("u", 1, Optional.empty(), OptionalDouble.empty());
        granted(low);
        assertThat((double) granted(high, low)).isLessThanOrEqualTo(most(1));
    }

    /** Guards against an upstream that keeps an ended limit: the permission says that there is none. */
    @Test
    void permissionIsGivenAtOnceWhenTheLimitHasEnded() {
        UpstreamLimit belief = named(1);
        server.report(new UpstreamLimit(UPSTREAM, OptionalDouble.empty(), belief.version()));
        QuotaQuestion question = QuotaQuestion.of(belief, OptionalDouble.empty());
        assertThat(granted(question)).isEqualTo(STEPS);
        assertThat(decide(question).limit().orElseThrow().perSecond()).isEmpty();
    }

    @Test
    void onlyTheBeginningOfALimitIsAnnounced() {
        named(2);
        named(1);
        decide(QuotaQuestion.of(
                new UpstreamLimit(UPSTREAM, OptionalDouble.of(3), Optional.empty()), OptionalDouble.empty()));
        assertThat(announced).hasSize(1);
        assertThat(announced.get(0).perSecond()).hasValue(2);
    }

    /** What an earlier term knew counts only as far as hosts still believe it. */
    @Test
    void nextTermLearnsFromWhatHostsBelieve() {
        UpstreamLimit belief = named(1);
        termStart = OptionalLong.empty();
        assertThat(server.report(belief).getLeft().code()).isEqualTo(ErrorCode.NOT_LEADER);
        termStart = OptionalLong.of(timer.nowNanos() + 1);
        QuotaQuestion coldOnly = QuotaQuestion.of(UpstreamLimit.none(UPSTREAM), OptionalDouble.of(7.6));
        assertThat(decide(coldOnly).limit().orElseThrow().perSecond()).isEmpty();
        assertThat(decide(QuotaQuestion.of(belief, OptionalDouble.empty()))
                        .limit()
                        .orElseThrow()
                        .perSecond())
                .hasValue(1);
        assertThat(decide(coldOnly).limit().orElseThrow().perSecond()).hasValue(1);
    }
}
