package org.arbutusfield.lab.control;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.distribution.ConfigurationDistributor;
import org.arbutusfield.distribution.DomainLeader;
import org.arbutusfield.distribution.LeaderSettings;
import org.arbutusfield.distribution.RunningRevision;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.distribution.SnapshotCheck;
import org.arbutusfield.member.HostListSource;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.MembershipLimits;
import org.arbutusfield.member.MembershipService;
import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.PeerAddress;

/**
 * One host on a {@link VirtualNetwork}: the membership, leader lease and configuration distribution of the product,
 * without sockets.
 */
public final class VirtualHost {
    private static final int CALLER_PORT = 8080;

    private final Member self;
    private final HostTimer hostTimer;
    private final ControlHandlers handlers = ControlHandlers.create();
    private final RunningRevision running = RunningRevision.create(SnapshotCheck.sha256());
    private final DomainLeader leader;
    private final MembershipService membership;
    private final ConfigurationDistributor distributor;

    private VirtualHost(
            Member self,
            List<PeerAddress> seeds,
            VirtualTimer timer,
            VirtualNetwork network,
            InMemorySnapshotStore store) {
        this.self = self;
        this.hostTimer = HostTimer.create(timer);
        SnapshotStoreClient client = store.client(hostTimer);
        this.leader = DomainLeader.start(
                client,
                self.failureDomain(),
                self.name() + "/" + self.incarnation(),
                LeaderSettings.defaults(),
                hostTimer,
                this::candidate);
        network.attach(self.controlAddress(), this);
        this.membership = MembershipService.start(
                new MembershipSettings(self, seeds, MembershipLimits.defaults(), Duration.ofSeconds(5)),
                network.transport(this),
                handlers,
                HostListSource.none(),
                hostTimer,
                running::announcement,
                leader::holdsLease);
        this.distributor = ConfigurationDistributor.start(
                running, client, client::restore, leader, membership, network.transport(this), handlers, hostTimer);
    }

    /** Starts a host. */
    public static VirtualHost start(
            Member self,
            List<PeerAddress> seeds,
            VirtualTimer timer,
            VirtualNetwork network,
            InMemorySnapshotStore store) {
        return new VirtualHost(self, seeds, timer, network, store);
    }

    /** Returns the member record of a host, given its number within its failure domain. */
    public static Member member(String region, String failureDomain, int number, long incarnation) {
        String name = failureDomain + "-" + number;
        return new Member(
                name, region, failureDomain, name, CALLER_PORT, CALLER_PORT + 1, incarnation, MemberState.ALIVE);
    }

    /** The member record of this host. */
    public Member self() {
        return self;
    }

    /** The timer of this host, by which it can be paused or killed. */
    public HostTimer hostTimer() {
        return hostTimer;
    }

    /** The revision in force on this host. */
    public RunningRevision running() {
        return running;
    }

    /** The membership service of this host. */
    public MembershipService membership() {
        return membership;
    }

    /** The leader lease of the failure domain, as seen by this host. */
    public DomainLeader leader() {
        return leader;
    }

    /** Offers this host a configuration that the store accepted. */
    public void offer(Snapshot accepted) {
        distributor.offer(accepted);
    }

    ControlHandlers handlers() {
        return handlers;
    }

    private boolean candidate() {
        return membership != null && membership.view().rankInDomain() < DomainLeader.CANDIDATES;
    }
}
