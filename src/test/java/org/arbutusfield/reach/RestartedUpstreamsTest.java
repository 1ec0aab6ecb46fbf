package org.arbutusfield.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.upstream.UpstreamProbe.Result;
import org.arbutusfield.route.CallerLimits;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.timer.VirtualTimer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One host's view of two upstreams, one of which may restart, in virtual time. */
class RestartedUpstreamsTest {
    private static final Duration COLD_PERIOD = Duration.ofSeconds(3);
    private static final Duration OUTAGE = Duration.ofSeconds(20);
    private static final Duration MILLISECOND = Duration.ofMillis(1);
    private static final int PORT = 10;
    private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), PORT);

    private final VirtualTimer timer = VirtualTimer.create();
    private SteeringState published = SteeringState.empty();
    private Result port = Result.ACCEPTED;
    private int probes;
    private boolean cutOff;
    private boolean storeAnswers = true;
    /** Monotonic times between which a connection has carried bytes. */
    private long connectionOpenedNanos = Long.MAX_VALUE;

    private long connectionReceivedNanos;

    private final RestartedUpstreams restarts = RestartedUpstreams.create(
            this::probe,
            new SilenceEvidence(this::connectionSurvives, () -> cutOff, () -> storeAnswers),
            (found, open) -> {},
            timer,
            state -> published = state);

    @BeforeEach
    void start() {
        restarts.stateChanged(state(1, COLD_PERIOD));
    }

    private CompletableFuture<Result> probe(InetSocketAddress address) {
        probes++;
        assertThat(address).isEqualTo(ADDRESS);
        return CompletableFuture.completedFuture(port);
    }

    private boolean connectionSurvives(InetSocketAddress address, long openedBeforeNanos, long receivedAfterNanos) {
        return connectionOpenedNanos < openedBeforeNanos && connectionReceivedNanos > receivedAfterNanos;
    }

    private static SteeringState state(long startMillis, Duration coldPeriod) {
        ServicePolicy desk = new ServicePolicy("desk", "/health", 100, coldPeriod, 2.6);
        CallerLimits limits = new CallerLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));
        return new SteeringState(
                Optional.of(RouteTable.of(1, limits, List.of(), List.of(desk))),
                Map.of("desk", List.of(upstream("u1", PORT, startMillis), upstream("u2", PORT + 1, 1))),
                Set.of(),
                List.of(),
                Map.of(),
                Map.of(),
                StoreRevision.NONE);
    }

    private static LiveUpstream upstream(String name, int port, long startMillis) {
        Upstream upstream = new Upstream(name, "desk", "gulf-a", "127.0.0.1", port, 9, 9);
        return new LiveUpstream(upstream, "gulf", 0, 0, startMillis, name.hashCode());
    }

    private boolean cold(String name) {
        return published.upstream("desk", name).orElseThrow().cold(timer.nowNanos());
    }

    /** Guards against an upstream that has restarted during an outage of the store and is taken for warm. */
    @Test
    void upstreamWhoseClosedPortOpensAgainIsColdForItsColdPeriod() {
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        assertThat(cold("u1")).isTrue();
        assertThat(cold("u2")).isFalse();
        timer.advance(OUTAGE);
        assertThat(cold("u1")).as("while its port is closed").isTrue();
        port = Result.ACCEPTED;
        timer.advance(Duration.ofSeconds(1));
        assertThat(cold("u1")).as("after it has started").isTrue();
        timer.advance(COLD_PERIOD);
        assertThat(cold("u1")).as("after its cold period").isFalse();
    }

    /** The other side: lost connections, resets and links that are cut say nothing about the upstream. */
    @ParameterizedTest
    @EnumSource(
            value = Result.class,
            names = {"ACCEPTED", "NO_ANSWER"})
    void upstreamWhosePortIsNotClosedStaysWarm(Result result) {
        port = result;
        for (int i = 0; i < 100; i++) {
            restarts.mayHaveRestarted(ADDRESS);
            timer.advance(MILLISECOND);
            assertThat(cold("u1")).isFalse();
        }
        assertThat(probes).isEqualTo(result == Result.ACCEPTED ? 100 : 1);
        port = Result.ACCEPTED;
        for (int i = 0; i < OUTAGE.toMillis(); i++) {
            timer.advance(MILLISECOND);
            assertThat(cold("u1")).isFalse();
        }
    }

    private void silence(Duration time) {
        port = Result.NO_ANSWER;
        restarts.mayHaveRestarted(ADDRESS);
        timer.advance(time);
        port = Result.ACCEPTED;
    }

    /** Guards against the flood of an upstream that restarts behind a silence while the store is away. */
    @ParameterizedTest
    @ValueSource(longs = {1, 150, 1_700, 2_200, 3_500, 15_000})
    void upstreamThatAnswersAgainAfterASilenceIsColdWhileTheStoreIsAway(long silentMillis) {
        storeAnswers = false;
        silence(Duration.ofMillis(silentMillis));
        assertThat(cold("u1")).as("while it is silent").isTrue();
        assertThat(cold("u2")).isFalse();
        // A request that gets through is the first to find it back.
        restarts.mayHaveRestarted(ADDRESS);
        timer.advance(COLD_PERIOD.minus(MILLISECOND));
        assertThat(cold("u1")).as("in its cold period").isTrue();
        timer.advance(Duration.ofSeconds(2));
        assertThat(cold("u1")).as("after its cold period").isFalse();
    }

    /** Guards against the same where the store goes away only when the upstream is back. */
    @Test
    void upstreamThatWasSilentIsColdIfTheStoreGoesAwayBeforeItHasTheNewStart() {
        silence(Duration.ofSeconds(2));
        timer.advance(Duration.ofSeconds(1));
        storeAnswers = false;
        timer.advance(Duration.ofMillis(300));
        assertThat(cold("u1")).isTrue();
    }

    /** The other side: a connection that has outlived the silence proves that nothing has restarted. */
    @Test
    void upstreamWhoseConnectionOutlivesTheSilenceIsWarmAgainAtOnce() {
        storeAnswers = false;
        timer.advance(Duration.ofSeconds(1));
        connectionOpenedNanos = 0;
        silence(Duration.ofSeconds(2));
        assertThat(cold("u1")).as("while it is silent").isTrue();
        timer.advance(Duration.ofSeconds(1));
        connectionReceivedNanos = timer.nowNanos();
        timer.advance(Duration.ofMillis(200));
        assertThat(cold("u1")).as("after bytes on an old connection").isFalse();
        timer.advance(OUTAGE);
        assertThat(cold("u1")).isFalse();
    }

    /** The other side: a probe that is lost on the way, while requests are served, says nothing. */
    @Test
    void upstreamThatServesRequestsIsNotSilent() {
        storeAnswers = false;
        timer.advance(Duration.ofSeconds(1));
        connectionOpenedNanos = 0;
        connectionReceivedNanos = Long.MAX_VALUE;
        silence(Duration.ofMillis(100));
        assertThat(cold("u1")).isFalse();
    }

    /** The other side: a host that is cut off from all upstreams doesn't take them all for cold when it is back. */
    @Test
    void silenceOfAHostThatReachesNothingSaysNothingOfItsUpstreams() {
        storeAnswers = false;
        cutOff = true;
        silence(Duration.ofSeconds(2));
        cutOff = false;
        timer.advance(MILLISECOND);
        assertThat(cold("u1")).isFalse();
    }

    /** The other side: when the store is back and has the same start, the upstream has not restarted. */
    @Test
    void upstreamIsWarmAgainWhenTheStoreIsBackAndHasTheSameStart() {
        storeAnswers = false;
        silence(Duration.ofSeconds(2));
        timer.advance(Duration.ofSeconds(1));
        assertThat(cold("u1")).isTrue();
        storeAnswers = true;
        timer.advance(Duration.ofMillis(1_500));
        assertThat(cold("u1")).isFalse();
    }

    /** Guards against a restart that was seen and is forgotten, because a later silence turns out to be harmless. */
    @Test
    void restartThatWasSeenIsNotForgottenAfterAHarmlessSilence() {
        storeAnswers = false;
        restart();
        connectionOpenedNanos = timer.nowNanos();
        timer.advance(MILLISECOND);
        silence(Duration.ofMillis(300));
        timer.advance(Duration.ofMillis(200));
        connectionReceivedNanos = timer.nowNanos();
        timer.advance(Duration.ofMillis(200));
        assertThat(cold("u1")).as("in the cold period of its restart").isTrue();
        timer.advance(COLD_PERIOD);
        assertThat(cold("u1")).isFalse();
    }

    /** While the port is silent, many signs cause few probes. */
    @Test
    void probesOfASilentPortAreLimited() {
        port = Result.NO_ANSWER;
        for (int i = 0; i < OUTAGE.toMillis(); i++) {
            restarts.mayHaveRestarted(ADDRESS);
            timer.advance(MILLISECOND);
        }
        assertThat(probes).isLessThanOrEqualTo((int) OUTAGE.toSeconds() * 5 + 1);
    }

    private void restart() {
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        timer.advance(Duration.ofSeconds(1));
        port = Result.ACCEPTED;
        timer.advance(Duration.ofSeconds(1));
    }

    /** Guards against an upstream that is taken for cold again at each reset, because it did restart once. */
    @Test
    void upstreamThatIsBackIsNotColdForLongerBecauseOfLostConnections() {
        restart();
        long steps = COLD_PERIOD.toMillis();
        for (int i = 0; i < steps; i++) {
            restarts.mayHaveRestarted(ADDRESS);
            timer.advance(MILLISECOND);
        }
        assertThat(cold("u1")).as("after its cold period").isFalse();
        restarts.mayHaveRestarted(ADDRESS);
        assertThat(cold("u1")).as("after one more lost connection").isFalse();
    }

    /** Guards against the second restart in one outage of the store, which the first one hides. */
    @Test
    void secondRestartIsSeenLikeTheFirst() {
        restart();
        timer.advance(COLD_PERIOD);
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        assertThat(cold("u1")).as("while its port is closed").isTrue();
        timer.advance(OUTAGE);
        assertThat(cold("u1")).as("while its port is still closed").isTrue();
        port = Result.ACCEPTED;
        timer.advance(Duration.ofSeconds(1));
        assertThat(cold("u1")).as("after it has started").isTrue();
        timer.advance(COLD_PERIOD);
        assertThat(cold("u1")).as("after its cold period").isFalse();
    }

    /** The entry that the upstream writes at its start says how long it is cold; what was found before is void. */
    @Test
    void entryOfTheNewStartReplacesWhatWasFound() {
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        restarts.stateChanged(state(2, COLD_PERIOD));
        assertThat(cold("u1")).isFalse();
        probes = 0;
        timer.advance(OUTAGE);
        assertThat(probes).as("probes of the earlier start").isZero();
    }

    /** An unrelated change of the store says nothing new about the upstream. */
    @Test
    void changeOfTheStoreWithTheSameStartKeepsWhatWasFound() {
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        restarts.stateChanged(state(1, COLD_PERIOD));
        assertThat(cold("u1")).isTrue();
    }

    /**
     * Guards against an upstream that is taken for warm although its port is closed, because its entry had gone from
     * the store and come back in between.
     */
    @Test
    void upstreamWhoseEntryComesBackIsColdWhileItsPortIsClosed() {
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        restarts.stateChanged(SteeringState.empty());
        restarts.stateChanged(state(1, COLD_PERIOD));
        timer.advance(Duration.ofSeconds(1));
        assertThat(cold("u1")).isTrue();
    }

    /** While the port is closed, many signs cause no more probes than one. */
    @Test
    void probesOfAClosedPortAreLimited() {
        port = Result.REFUSED;
        for (int i = 0; i < OUTAGE.toMillis(); i++) {
            restarts.mayHaveRestarted(ADDRESS);
            timer.advance(MILLISECOND);
        }
        assertThat(probes).isBetween((int) OUTAGE.toSeconds(), (int) OUTAGE.toSeconds() + 3);
    }

    /** Upstreams of a service without a cold period need no attention. */
    @Test
    void upstreamWithoutAColdPeriodIsNotProbed() {
        restarts.stateChanged(state(1, Duration.ZERO));
        port = Result.REFUSED;
        restarts.mayHaveRestarted(ADDRESS);
        assertThat(probes).isZero();
        assertThat(cold("u1")).isFalse();
    }

    /** Guards against the flood of an upstream by a host that had no connection to lose when it ended. */
    @Test
    void upstreamThatAnotherHostFoundClosedIsColdUntilItsColdPeriodHasPassedAfterItsReturn() {
        UpstreamStart start = new UpstreamStart("u1", 1);
        restarts.portReported(start, false);
        assertThat(cold("u1")).isTrue();
        assertThat(cold("u2")).isFalse();
        timer.advance(Duration.ofSeconds(5));
        restarts.portReported(start, true);
        timer.advance(COLD_PERIOD.minus(MILLISECOND));
        assertThat(cold("u1")).isTrue();
        timer.advance(MILLISECOND.multipliedBy(2));
        assertThat(cold("u1")).isFalse();
    }

    /** A report about an earlier start says nothing about the present one. */
    @Test
    void reportAboutAnEarlierStartIsIgnored() {
        restarts.stateChanged(state(2, COLD_PERIOD));
        restarts.portReported(new UpstreamStart("u1", 1), false);
        assertThat(cold("u1")).isFalse();
    }
}
