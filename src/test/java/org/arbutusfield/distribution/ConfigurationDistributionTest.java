package org.arbutusfield.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.arbutusfield.lab.control.VirtualHost;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.wire.gen.ControlMessage;
import org.junit.jupiter.api.Test;

class ConfigurationDistributionTest {
    private static final int HOSTS = 18;
    private static final Duration TARGET = Duration.ofSeconds(3);

    @Test
    void storedRevisionIsInForceOnAllHostsWithinTarget() {
        VirtualFleet fleet = started(1);
        assertThat(fleet.converges(fleet.store.accept(content(1)).revisionId(), TARGET))
                .isTrue();
        assertThat(fleet.converges(fleet.store.accept(content(2)).revisionId(), TARGET))
                .isTrue();
    }

    @Test
    void acceptedNoteIsDistributedWhileStoreIsDown() {
        VirtualFleet fleet = started(2);
        Snapshot accepted = fleet.store.accept(content(1));
        fleet.store.down(true);
        fleet.host(11).offer(accepted);
        assertThat(fleet.converges(accepted.revisionId(), TARGET)).isTrue();
    }

    @Test
    void revisionIsAnnouncedBeforeNextRegularHeartbeat() {
        VirtualFleet fleet = started(7);
        Snapshot accepted = fleet.store.accept(content(1));
        fleet.store.down(true);
        fleet.host(4).offer(accepted);
        Duration regular = MembershipLimits.defaults().interval();
        assertThat(fleet.converges(accepted.revisionId(), regular.dividedBy(2))).isTrue();
    }

    @Test
    void damagedDeltaIsReplacedByWholeContent() {
        VirtualFleet fleet = started(9);
        assertThat(fleet.converges(fleet.store.accept(content(1)).revisionId(), TARGET))
                .isTrue();
        fleet.network.tamper(ConfigurationDistributionTest::damaged);
        Snapshot accepted = fleet.store.accept(content(2));
        fleet.store.down(true);
        fleet.host(4).offer(accepted);
        assertThat(fleet.converges(accepted.revisionId(), TARGET)).isTrue();
    }

    private static ControlMessage damaged(ControlMessage message) {
        if (message.isSetSnapshotChunk() && message.getSnapshotChunk().getBaseRevision() > 0) {
            byte[] content = message.getSnapshotChunk().getContent();
            content[content.length - 1] ^= 1;
        }
        return message;
    }

    @Test
    void hostStartedWhileStoreIsDownReadsConfigurationFromPeer() {
        VirtualFleet fleet = started(3);
        Snapshot accepted = fleet.store.accept(content(1));
        assertThat(fleet.converges(accepted.revisionId(), TARGET)).isTrue();
        fleet.store.down(true);
        fleet.start(5);
        assertThat(fleet.converges(accepted.revisionId(), TARGET)).isTrue();
    }

    @Test
    void restoredStoreIsRepairedAndNoHostGoesBack() {
        VirtualFleet fleet = started(4);
        fleet.store.accept(content(1));
        Snapshot newest = fleet.store.accept(content(2));
        assertThat(fleet.converges(newest.revisionId(), TARGET)).isTrue();
        fleet.store.restoreTo(1);
        fleet.run(Duration.ofSeconds(60));
        assertThat(fleet.converges(newest.revisionId(), Duration.ZERO)).isTrue();
        assertThat(fleet.store.current().map(Snapshot::revisionId)).contains(newest.revisionId());
        Snapshot next = fleet.store.accept(content(3));
        assertThat(next.revisionId().revision()).isEqualTo(newest.revisionId().revision() + 1);
        assertThat(fleet.converges(next.revisionId(), TARGET)).isTrue();
    }

    @Test
    void storesContentWinsWhenOneRevisionHasTwoContents() {
        VirtualFleet fleet = started(5);
        byte[] other = content(9);
        Snapshot forked = Snapshot.of(new RevisionId(1, Digests.sha256(other)), other);
        fleet.store.down(true);
        fleet.host(2).offer(forked);
        assertThat(fleet.converges(forked.revisionId(), TARGET)).isTrue();
        Snapshot accepted = fleet.store.accept(content(1));
        fleet.store.down(false);
        assertThat(fleet.converges(accepted.revisionId(), Duration.ofSeconds(30)))
                .isTrue();
    }

    @Test
    void resumedHostCatchesUpAndRevertsNoHost() {
        VirtualFleet fleet = started(6);
        assertThat(fleet.converges(fleet.store.accept(content(1)).revisionId(), TARGET))
                .isTrue();
        VirtualHost paused = fleet.host(0);
        paused.hostTimer().pause(Duration.ofMinutes(5));
        fleet.store.accept(content(2));
        fleet.run(Duration.ofMinutes(2));
        Snapshot newest = fleet.store.accept(content(3));
        fleet.run(Duration.ofMinutes(3));
        assertThat(fleet.converges(newest.revisionId(), TARGET)).isTrue();
        assertThat(fleet.history)
                .filteredOn(i -> i.revisionId().revision() == 3)
                .filteredOn(i -> !i.process().startsWith(paused.self().name()))
                .hasSize(HOSTS - 1);
    }

    @Test
    void storeCallsGrowWithFailureDomainsAndNotWithHosts() {
        long few = callsInTenMinutes(12);
        long many = callsInTenMinutes(48);
        assertThat(many).isLessThan(few * 5 / 4);
    }

    private static long callsInTenMinutes(int hosts) {
        VirtualFleet fleet = new VirtualFleet(8, hosts);
        fleet.run(Duration.ofSeconds(30));
        long before = fleet.store.reads() + fleet.store.writes();
        fleet.run(Duration.ofMinutes(10));
        return fleet.store.reads() + fleet.store.writes() - before;
    }

    private static VirtualFleet started(long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, HOSTS);
        fleet.run(Duration.ofSeconds(20));
        return fleet;
    }

    private static byte[] content(int number) {
        byte[] content = new byte[10_000];
        content[number * 100] = (byte) number;
        return content;
    }
}
