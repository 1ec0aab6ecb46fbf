package org.arbutusfield.distribution;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import org.arbutusfield.error.Failure;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MembershipService;
import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlClient;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlServer;
import org.arbutusfield.wire.PeerAddress;

/**
 * The services by which a host cooperates with the others: control server and client, membership, domain lease and
 * configuration distribution.
 */
public final class ControlPlane implements AutoCloseable {
    private final ControlServer server;
    private final ControlClient client;
    private final ControlHandlers handlers;
    private final RunningRevision running;
    private final MembershipService membership;
    private final DomainLeader leader;
    private final ConfigurationDistributor distributor;

    private ControlPlane(
            ControlPlaneSettings settings,
            ControlServer server,
            ControlHandlers handlers,
            EventLoopGroup group,
            TimerService timer,
            PlatformServices platform) {
        this.server = server;
        this.handlers = handlers;
        this.client = ControlClient.start(group, timer, settings.control());
        this.running = RunningRevision.create(platform.check());
        Member self = withPort(settings.membership().self(), server.port());
        this.leader = DomainLeader.start(
                platform.store(),
                self.failureDomain(),
                self.name() + "/" + self.incarnation(),
                settings.leader(),
                timer,
                this::isLeaseCandidate);
        this.membership = MembershipService.start(
                new MembershipSettings(
                        self,
                        settings.membership().seeds(),
                        settings.membership().limits(),
                        settings.membership().listInterval()),
                client,
                handlers,
                platform.hostList(),
                timer,
                running::announcement,
                leader::holdsLease);
        this.distributor = ConfigurationDistributor.start(
                running, platform.source(), platform.repair(), leader, membership, client, handlers, timer);
    }

    /**
     * Starts the control server and all services.
     *
     * @param settings addresses, seeds and limits; control port 0 selects any free port
     * @param platform the store and the services that use it
     * @param group network threads, owned by the caller
     * @param timer schedules all periodic work, owned by the caller
     * @return the running control plane, or {@code ADDRESS_IN_USE}
     */
    public static Either<Failure, ControlPlane> start(
            ControlPlaneSettings settings, PlatformServices platform, EventLoopGroup group, TimerService timer) {
        ControlHandlers handlers = ControlHandlers.create();
        Member self = settings.membership().self();
        PeerAddress address = new PeerAddress(self.callerHost(), self.controlPort());
        return ControlServer.start(group, address, handlers, settings.control())
                .map(server -> new ControlPlane(settings, server, handlers, group, timer, platform));
    }

    /** The configuration in force on this host; accepts subscribers. */
    public RunningRevision running() {
        return running;
    }

    /** The membership service. */
    public MembershipService membership() {
        return membership;
    }

    /** The lease of this host's failure domain; get a fencing token before each write. */
    public DomainLeader leader() {
        return leader;
    }

    /** The client for calls to other hosts. */
    public ControlClient client() {
        return client;
    }

    /** The server for calls from other hosts. */
    public ControlServer server() {
        return server;
    }

    /** The registry for handlers of further message types. */
    public ControlHandlers handlers() {
        return handlers;
    }

    /** This host's address for control messages. */
    public PeerAddress address() {
        return membership.view().self().controlAddress();
    }

    /** Installs and announces a configuration that the store accepted at this host's request. */
    public Either<Failure, Boolean> offer(Snapshot accepted) {
        return distributor.offer(accepted);
    }

    /** Announces to all hosts that this one leaves, and releases the lease. Call it first in a graceful stop. */
    public void leave() {
        leader.close();
        membership.leave();
    }

    /** Stops all services and closes every connection. */
    @Override
    public void close() {
        distributor.close();
        membership.close();
        leader.close();
        client.close();
        server.close();
    }

    private boolean isLeaseCandidate() {
        return membership != null && membership.view().rankInDomain() < DomainLeader.CANDIDATES;
    }

    private static Member withPort(Member self, int port) {
        return new Member(
                self.name(),
                self.region(),
                self.failureDomain(),
                self.callerHost(),
                self.callerPort(),
                port,
                self.incarnation(),
                self.state());
    }
}
