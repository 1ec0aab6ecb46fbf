package org.arbutusfield.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The placement by load beside the home always, as before, and beside one queue that knows all. 12 upstreams with 6
 * slots and three kinds of requests; at scale 1 they ask for about as much work as the slots can do at the homes.
 */
class LoadSimulationTest {
    private static final Logger LOG = LogManager.getLogger(LoadSimulationTest.class);
    private static final double SECONDS = 30;
    private static final double[] SPEEDS = {0.5, 0.7, 0.9, 1.0, 1.2, 1.8};

    private static List<LoadSimulation.Kind> kinds(double scale) {
        return List.of(
                new LoadSimulation.Kind(0, 0.84, 1.5, 0.6, 95 * scale),
                new LoadSimulation.Kind(1, 0.60, 1.5, 0.8, 133 * scale),
                new LoadSimulation.Kind(2, 1.20, 2.5, 1.5, 67 * scale));
    }

    private static Map<LoadSimulation.Policy, LoadSimulation> compare(
            String name, int hosts, double scale, Consumer<LoadSimulation> load) {
        Map<LoadSimulation.Policy, LoadSimulation> results = new EnumMap<>(LoadSimulation.Policy.class);
        for (LoadSimulation.Policy policy : LoadSimulation.Policy.values()) {
            LoadSimulation simulation = new LoadSimulation(policy, hosts, 12, 6, kinds(scale));
            load.accept(simulation);
            results.put(policy, simulation.run(SECONDS));
            LOG.info(
                    "event=load_compared load={} hosts={} policy={} busy={} kinds={}",
                    name,
                    hosts,
                    policy,
                    String.format("%.2f", simulation.busy()),
                    simulation.tallies);
        }
        return results;
    }

    private static LoadSimulation before(Map<LoadSimulation.Policy, LoadSimulation> results) {
        return results.get(LoadSimulation.Policy.HOME);
    }

    private static LoadSimulation now(Map<LoadSimulation.Policy, LoadSimulation> results) {
        return results.get(LoadSimulation.Policy.LOAD);
    }

    /** Each kind is answered at least a quarter as often as all requests together. */
    private static void assertNoneStarved(LoadSimulation simulation) {
        simulation
                .tallies
                .values()
                .forEach(tally -> assertThat(tally.answeredShare()).isGreaterThan(simulation.answered() / 4));
    }

    /** Guards against requests that are refused although there is room. */
    @Test
    void calmLoadIsServedAsBefore() {
        var results = compare("calm", 16, 0.7, simulation -> {});
        assertThat(now(results).answered()).isGreaterThan(0.99);
        assertThat(now(results).goodShare()).isGreaterThan(before(results).goodShare() - 0.01);
    }

    /** Guards against urgent requests that miss their target behind a burst of less urgent ones. */
    @ParameterizedTest
    @ValueSource(ints = {16, 121})
    void burstOfALessUrgentKindLeavesTheUrgentOnTime(int hosts) {
        var results = compare(
                "burst",
                hosts,
                0.85,
                simulation -> simulation.surge = (kind, seconds) -> kind.rank() == 2 && seconds > 5 ? 2.6 : 1);
        assertThat(now(results).tally(0).servedShare())
                .isGreaterThan(before(results).tally(0).servedShare() + 0.4);
        assertThat(now(results).tally(0).answeredShare()).isGreaterThan(0.98);
        assertThat(now(results).tally(2).answeredShare())
                .isLessThan(now(results).tally(0).answeredShare() - 0.2);
        assertNoneStarved(now(results));
    }

    /** Guards against callers that repeat at once and take the room of others. */
    @Test
    void callersThatRepeatAtOnceGainLessThanTheUrgent() {
        var results = compare("repeat", 16, 1.3, simulation -> simulation.repeatAtOnce = true);
        assertThat(now(results).goodShare()).isGreaterThan(before(results).goodShare() + 0.2);
        assertThat(now(results).tally(0).answeredShare()).isGreaterThan(0.99);
        assertNoneStarved(now(results));
    }

    /** Guards against room that is held for callers that have left. */
    @Test
    void callersThatLeaveDoNotHoldUpTheUrgent() {
        var results = compare("leave", 16, 1.3, simulation -> simulation.leaving = 0.3);
        assertThat(now(results).tally(0).servedShare())
                .isGreaterThan(before(results).tally(0).servedShare() + 0.3);
        assertNoneStarved(now(results));
    }

    /** Guards against requests that are sent to upstreams that can't end them, while others have room. */
    @ParameterizedTest
    @ValueSource(ints = {16, 121})
    void halfOfTheUpstreamsSlowLeavesTheOthersUsed(int hosts) {
        var results = compare(
                "half-slow",
                hosts,
                0.3,
                simulation -> simulation.slowness = (upstream, seconds) -> upstream % 2 == 0 ? 12 : 1);
        assertThat(now(results).answered()).isGreaterThan(before(results).answered() + 0.05);
    }

    /** Guards against displaced requests that push out those of healthy upstreams. */
    @ParameterizedTest
    @ValueSource(ints = {16, 121})
    void displacedRequestsDoNotAllGoToOneUpstream(int hosts) {
        var results = compare(
                "one-slow",
                hosts,
                0.7,
                simulation -> simulation.slowness = (upstream, seconds) -> upstream == 0 ? 12 : 1);
        assertThat(now(results).answered()).isGreaterThan(before(results).answered() - 0.01);
        double mean = now(results).upstreams.stream()
                .mapToInt(u -> u.received)
                .average()
                .orElseThrow();
        assertThat(now(results).upstreams)
                .allSatisfy(u -> assertThat(u.received).isLessThan((int) (1.3 * mean)));
    }

    /** Guards against hosts without knowledge that fill all queues at the start, and don't recover. */
    @Test
    void hostsThatStartAtFullLoadRecover() {
        var results = compare("start", 121, 1.3, simulation -> {});
        assertThat(now(results).tally(0).servedShare())
                .isGreaterThan(before(results).tally(0).servedShare() + 0.4);
        assertNoneStarved(now(results));
    }

    /** Guards against refusals that go on after the room is back. */
    @Test
    void roomIsUsedAgainAfterAnOutage() {
        var results = compare("outage", 16, 0.85, simulation -> {
            simulation.tallyFrom = 15;
            simulation.slowness = (upstream, seconds) -> seconds > 8 && seconds < 14 ? 8 : 1;
        });
        assertThat(now(results).goodShare()).isGreaterThan(before(results).goodShare());
        assertThat(now(results).tally(0).answeredShare()).isGreaterThan(0.9);
    }

    /** Guards against decisions that follow a speed that has changed meanwhile; reports are up to 1 s late. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.6, 3})
    void changingSpeedsAndLateReportsDoNotUndoTheGain(double period) {
        var results = compare("noise-" + period, 16, 1.2, simulation -> {
            simulation.reportDelay = 1;
            simulation.slowness = (upstream, seconds) -> SPEEDS[
                    (int) Math.floorMod(WeightedRendezvous.mix(upstream * 100003L + (long) (seconds / period)), 6L)];
        });
        assertThat(now(results).goodShare()).isGreaterThan(before(results).goodShare() + 0.08);
        assertThat(now(results).tally(0).servedShare())
                .isGreaterThan(before(results).tally(0).servedShare() + 0.3);
        assertNoneStarved(now(results));
    }

    /** Guards against a changed placement where upstreams state nothing: each request goes to its home, as before. */
    @Test
    void withoutStatementsNothingChanges() {
        var results = compare("silent", 16, 1.3, simulation -> simulation.statesLoad = false);
        assertThat(now(results).tallies.toString())
                .isEqualTo(before(results).tallies.toString());
    }
}
