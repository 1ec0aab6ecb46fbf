package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.arbutusfield.lab.control.VirtualHost;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MembershipLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetMembershipTest {
    private static final int HOSTS = 18;
    private static final Duration LEAVING_TARGET = Duration.ofSeconds(3);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allHostsDiscoverEachOtherFromTwoSeeds(long seed) {
        VirtualFleet fleet = started(seed);
        assertThat(fleet.hosts.values())
                .allMatch(host -> host.membership().view().alive().size() == HOSTS);
    }

    @Test
    void leavingHostIsKnownToAllWithinTarget() {
        VirtualFleet fleet = started(4);
        fleet.network.loss(0.01);
        VirtualHost leaving = fleet.host(7);
        leaving.membership().leave();
        fleet.run(LEAVING_TARGET);
        assertThat(fleet.countHostsWithState(leaving.self().name(), MemberState.LEAVING))
                .isEqualTo(HOSTS - 1);
        fleet.run(Duration.ofSeconds(30));
        assertThat(fleet.countHostsWithState(leaving.self().name(), MemberState.LEAVING))
                .isEqualTo(HOSTS - 1);
    }

    @Test
    void leavingHostIsAnnouncedBeforeNextRegularHeartbeat() {
        VirtualFleet fleet = started(8);
        VirtualHost leaving = fleet.host(2);
        leaving.membership().leave();
        fleet.run(MembershipLimits.defaults().interval().dividedBy(2));
        assertThat(fleet.countHostsWithState(leaving.self().name(), MemberState.LEAVING))
                .isEqualTo(HOSTS - 1);
    }

    @Test
    void deadHostIsDetectedAndItsRestartIsKnownByIncarnation() {
        VirtualFleet fleet = started(5);
        VirtualHost dead = fleet.host(9);
        dead.hostTimer().kill();
        fleet.run(Duration.ofSeconds(15));
        assertThat(fleet.countHostsWithState(dead.self().name(), MemberState.DEAD))
                .isEqualTo(HOSTS - 1);
        fleet.start(9);
        fleet.run(Duration.ofSeconds(10));
        assertThat(fleet.countHostsWithState(dead.self().name(), MemberState.ALIVE))
                .isEqualTo(HOSTS - 1);
    }

    @Test
    void pausedHostIsDeadWhileSilentAndAliveOnceItResponds() {
        VirtualFleet fleet = started(6);
        VirtualHost paused = fleet.host(3);
        paused.hostTimer().pause(Duration.ofSeconds(30));
        fleet.run(Duration.ofSeconds(20));
        assertThat(fleet.countHostsWithState(paused.self().name(), MemberState.DEAD))
                .isEqualTo(HOSTS - 1);
        fleet.run(Duration.ofSeconds(25));
        assertThat(fleet.countHostsWithState(paused.self().name(), MemberState.ALIVE))
                .isEqualTo(HOSTS - 1);
        assertThat(paused.membership().view().alive()).hasSize(HOSTS);
    }

    @Test
    void regionsPartitionedForAnHourRejoin() {
        VirtualFleet fleet = started(7);
        fleet.network.cut((from, to) ->
                from.self().region().equals("delta") != to.self().region().equals("delta"));
        fleet.run(Duration.ofHours(1));
        assertThat(fleet.host(0).membership().view().alive()).hasSize(12);
        assertThat(fleet.host(4).membership().view().alive()).hasSize(6);
        fleet.network.cut((from, to) -> false);
        fleet.run(Duration.ofSeconds(20));
        assertThat(fleet.hosts.values())
                .allMatch(host -> host.membership().view().alive().size() == HOSTS);
    }

    private static VirtualFleet started(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, HOSTS);
        fleet.run(Duration.ofSeconds(20));
        return fleet;
    }
}
