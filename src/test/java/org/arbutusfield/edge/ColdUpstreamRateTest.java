package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.arbutusfield.proxy.AttemptOutcome;
import org.arbutusfield.proxy.PlacementTarget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Twenty hosts with the real watcher, cache, registration and placement send as many requests as they may to a cold
 * upstream, in virtual time, while the store makes them disagree about the list of hosts.
 *
 * <p>Checked: in no second does the upstream get more requests than its rate, the tolerated excess and the tolerated
 * number beyond it.
 */
class ColdUpstreamRateTest {
    private static final int HOSTS = 20;
    private static final double RATE = 7.6;
    private static final double TOLERATED_PER_SECOND = RATE * 1.5 + 5;
    private static final Duration OUTAGE = Duration.ofMillis(4600);
    private static final Duration AFTER_OUTAGE = Duration.ofSeconds(6);
    private static final Duration RETURN = Duration.ofSeconds(3);
    private static final int TURNED_AWAY = 7;
    private static final int COLD_UPSTREAMS = 7;
    private static final int WARM_UPSTREAMS = 17;
    /** Mean load of an upstream while many more callers than usual press. */
    private static final double REQUESTS_PER_UPSTREAM = 26;

    private static final String AGAIN = "again";
    private static final int AGAIN_PORT = 10;
    private static final int OTHERS_PORT = 9;

    private SteeringFleet fleet;

    /** Times in milliseconds, which are also the seeds. */
    static IntStream timesDown() {
        return IntStream.concat(
                IntStream.iterate(300, down -> down < 2_700, down -> down + 60), IntStream.of(500, 1_000, 3_000));
    }

    private void startHosts(Random random) {
        fleet = SteeringFleet.create(RATE, random);
        fleet.startHosts(HOSTS);
    }

    /** The hosts reach the store again one after the other. */
    private void makeStoreReachable() {
        for (SteeringHost host : fleet.hosts) {
            fleet.timer.after(
                    Duration.ofMillis(fleet.random.nextInt((int) RETURN.toMillis())),
                    () -> host.store.setReachable(true));
        }
    }

    private void addColdUpstreams() {
        for (int i = 0; i < COLD_UPSTREAMS; i++) {
            fleet.report("u-" + i, 2, OTHERS_PORT, Duration.ofSeconds(30));
        }
    }

    private void addWarmUpstreams() {
        fleet.report(AGAIN, 1, AGAIN_PORT, Duration.ZERO);
        for (int i = 0; i < WARM_UPSTREAMS; i++) {
            fleet.report("warm-" + i, 1, OTHERS_PORT, Duration.ZERO);
        }
        fleet.timer.advance(SteeringFleet.MAX_PROPAGATION_DELAY);
    }

    /**
     * Guards against the flood of a cold upstream by two sets of owners: the store turns some hosts away and drops
     * their registrations, and these hosts go on with the list of hosts that they have.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 89, 92, 101})
    void coldUpstreamIsNotFloodedWhenTheStoreTurnsSomeHostsAway(int seed) {
        Random random = new Random(seed);
        startHosts(random);
        addColdUpstreams();
        fleet.sendEagerly(SteeringFleet.SECOND);
        List<SteeringHost> shuffled = new ArrayList<>(fleet.hosts);
        Collections.shuffle(shuffled, random);
        for (SteeringHost host : shuffled.subList(0, TURNED_AWAY)) {
            host.store.setReachable(false);
            fleet.content.list("hosts/" + host.name, "", 1).forEach(item -> fleet.content.endLease(item.lease()));
        }
        fleet.sendEagerly(AFTER_OUTAGE);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat((double) fleet.total()).isGreaterThan(RATE);
    }

    /**
     * Guards against the flood of a cold upstream by hosts that each work with a different list of hosts: the leases of
     * all hosts lapse in an outage of the store, and each host registers again when it reaches the store.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void coldUpstreamIsNotFloodedWhenAllHostsRegisterAgain(int seed) {
        Random random = new Random(seed);
        startHosts(random);
        fleet.hosts.forEach(host -> host.store.setReachable(false));
        fleet.timer.advance(OUTAGE);
        addColdUpstreams();
        makeStoreReachable();
        fleet.sendEagerly(AFTER_OUTAGE);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat((double) fleet.total()).isGreaterThan(RATE);
    }

    /**
     * Guards against the flood of an upstream that starts again under its id, and is cold, before the hosts have read
     * its new entry. All hosts lose connections that they have just used when it ends.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 500, 1000})
    void upstreamThatStartsAgainIsNotFloodedBeforeItsEntryIsRead(int downMillis) {
        Random random = new Random(downMillis);
        startHosts(random);
        addWarmUpstreams();
        // Any other change makes the hosts open their next watch late.
        fleet.report("warm-0", 1, OTHERS_PORT, Duration.ZERO);
        fleet.timer.advance(SteeringFleet.STEP);
        fleet.hosts.forEach(SteeringHost::refreshSoon);
        load(Duration.ofMillis(downMillis), AttemptOutcome.FAILED, random);
        fleet.resetCounts();
        fleet.report(AGAIN, 2, AGAIN_PORT, SteeringFleet.COLD_PERIOD);
        load(SteeringFleet.COLD_PERIOD, AttemptOutcome.COMPLETED, random);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat(fleet.maxPerSecond()).as("the upstream got requests").isPositive();
    }

    /**
     * Guards against the flood of an upstream that starts again under its id, and is cold, while no host can read its
     * new entry because the store is away.
     */
    @ParameterizedTest
    @MethodSource("timesDown")
    void upstreamThatStartsAgainWhileTheStoreIsAwayIsNotFlooded(int downMillis) {
        Random random = new Random(downMillis);
        startHosts(random);
        addWarmUpstreams();
        load(SteeringFleet.SECOND, AttemptOutcome.COMPLETED, random);
        fleet.hosts.forEach(host -> host.store.setReachable(false));
        // Most hosts have sent it a request in the last two seconds, and lose that connection.
        fleet.closedPorts.add(AGAIN_PORT);
        fleet.hosts.subList(0, HOSTS / 2).forEach(host -> host.connect(AGAIN_PORT, false));
        load(Duration.ofMillis(downMillis), AttemptOutcome.FAILED, random);
        fleet.resetCounts();
        load(SteeringFleet.COLD_PERIOD, AttemptOutcome.COMPLETED, random);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(TOLERATED_PER_SECOND);
        assertThat(fleet.maxPerSecond()).as("the upstream got requests").isPositive();
    }

    /** Sends the load of many callers through all hosts; requests to the upstream that starts again end as given. */
    private void load(Duration time, AttemptOutcome outcome, Random random) {
        double sends = (WARM_UPSTREAMS + 1) * REQUESTS_PER_UPSTREAM * SteeringFleet.STEP.toMillis() / 1000;
        boolean runs = outcome == AttemptOutcome.COMPLETED;
        if (runs) {
            fleet.closedPorts.remove(AGAIN_PORT);
        } else {
            fleet.closedPorts.add(AGAIN_PORT);
        }
        long end = fleet.timer.nowNanos() + time.toNanos();
        for (; fleet.timer.nowNanos() < end; fleet.timer.advance(SteeringFleet.STEP)) {
            for (double left = sends; left > random.nextDouble(); left--) {
                SteeringHost host = fleet.hosts.get(random.nextInt(HOSTS));
                host.place(target -> send(host, target, runs));
            }
        }
    }

    private void send(SteeringHost host, PlacementTarget target, boolean runs) {
        boolean again = target.name().equals(AGAIN);
        target.permit().release(again && !runs ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED, 1);
        if (again) {
            host.connect(AGAIN_PORT, runs);
        }
        if (again && runs) {
            fleet.recordArrival(AGAIN);
        }
    }
}
