package org.arbutusfield.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many upstreams turn cold at once, and every host has a request for each of them at any time. In no second may one of
 * them get more requests than its rate, the tolerated excess and the tolerated number beyond it.
 */
class ColdUpstreamBoundTest {
    private static final int COLD_UPSTREAMS = 50;
    private static final int PORT = 9;

    private static double tolerated(double perSecond) {
        return perSecond * 1.5 + 5;
    }

    private static void coldStarts(SteeringFleet fleet, int round) {
        for (int i = 0; i < COLD_UPSTREAMS; i++) {
            fleet.report("u-" + round + "-" + i, 1, PORT, SteeringFleet.COLD_PERIOD);
        }
    }

    /**
     * Guards against the flood of a cold upstream by hosts that each keep to a part of its rate, and happen to send at
     * the same time. Nothing fails meanwhile.
     */
    @ParameterizedTest
    @CsvSource({"16, 2.6", "20, 2.6", "16, 2.3"})
    void coldUpstreamIsNotFloodedByHostsThatHappenToSendAtTheSameTime(int hostCount, double perSecond) {
        SteeringFleet fleet = SteeringFleet.create(perSecond, new Random(1));
        fleet.startHosts(hostCount);
        for (int round = 0; round < 80; round++) {
            coldStarts(fleet, round);
            fleet.sendEagerly(SteeringFleet.COLD_PERIOD);
            for (int i = 0; i < COLD_UPSTREAMS; i++) {
                fleet.remove("u-" + round + "-" + i);
            }
            // Otherwise hosts that have not read the removal would send to upstreams that are warm by now.
            fleet.timer.advance(SteeringFleet.MAX_PROPAGATION_DELAY);
        }
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(tolerated(perSecond));
        assertThat(fleet.total()).isPositive();
    }

    /**
     * Guards against the flood of a cold upstream by hosts that start together, for example when all of them have been
     * killed, and each of which takes the fleet for smaller than it is.
     */
    @ParameterizedTest
    @CsvSource({"16, 2.6", "20, 2.6", "20, 7.6", "118, 2.6"})
    void coldUpstreamIsNotFloodedByHostsThatStartTogether(int hostCount, double perSecond) {
        for (int seed = 0; seed < 8; seed++) {
            SteeringFleet fleet = SteeringFleet.create(perSecond, new Random(seed));
            fleet.addHosts(hostCount);
            coldStarts(fleet, seed);
            fleet.hosts.forEach(host -> fleet.timer.after(Duration.ofMillis(fleet.random.nextInt(500)), host::start));
            fleet.sendEagerly(SteeringFleet.COLD_PERIOD);
            assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(tolerated(perSecond));
        }
    }

    /**
     * Guards against cold upstreams that get nothing for as long as a lease lasts, each time that the host that counts
     * for them is killed and starts again.
     */
    @Test
    void coldUpstreamsGetRequestsSoonAfterTheLeaderHasStartedAgain() {
        SteeringFleet fleet = SteeringFleet.create(2.6, new Random(3));
        fleet.startHosts(16);
        fleet.timer.advance(SteeringFleet.REGISTRATION);
        fleet.hosts.stream()
                .filter(SteeringHost::leads)
                .findFirst()
                .orElseThrow()
                .start();
        coldStarts(fleet, 0);
        fleet.sendEagerly(SteeringFleet.COLD_PERIOD);
        double used = fleet.total() / (2.6 * SteeringFleet.COLD_PERIOD.toSeconds() * COLD_UPSTREAMS);
        assertThat(used).isGreaterThan(0.5);
        assertThat((double) fleet.maxPerSecond()).isLessThanOrEqualTo(tolerated(2.6));
    }
}
