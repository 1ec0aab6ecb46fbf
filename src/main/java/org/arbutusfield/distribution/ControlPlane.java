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

/** Everything by which one host takes part with the others: control server and client, membership, lease and spread. */
public final class ControlPlane implements AutoCloseable {
    private final ControlServer server;
    private final ControlClient client;
    private final ControlHandlers handlers;
    private final RunningRevision running;
    private final MembershipService membership;
    private final DomainLeader leader;
    private final ConfigurationDistributor spread;

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
                this::candidate);
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
        this.spread = ConfigurationDistributor.start(
                running, platform.source(), platform.repair(), leader, membership, client, handlers, timer);
    }

    /**
     * Starts to listen and to take part.
     *
     * @param settings addresses, seeds and limits; a control port of 0 takes any free one
     * @param platform the store and what reads it
     * @param group network threads, owned by the caller
     * @param timer drives everything, owned by the caller
     * @return the running parts, or {@code ADDRESS_IN_USE}
     */
    public static Either<Failure, ControlPlane> start(
            ControlPlaneSettings settings, PlatformServices platform, EventLoopGroup group, TimerService timer) {
        ControlHandlers handlers = ControlHandlers.create();
        Member self = settings.membership().self();
        PeerAddress address = new PeerAddress(self.callerHost(), self.controlPort());
        return ControlServer.start(group, address, handlers, settings.control())
                .map(server -> new ControlPlane(settings, server, handlers, group, timer, platform));
    }

    /** What is in force on this host; subscribe here. */
    public RunningRevision running() {
        return running;
    }

    /** The hosts. */
    public MembershipService membership() {
        return membership;
    }

    /** The lease of this host's failure domain; ask for a permit before each write. */
    public DomainLeader leader() {
        return leader;
    }

    /** Calls other hosts. */
    public ControlClient client() {
        return client;
    }

    /** Answers other hosts. */
    public ControlServer server() {
        return server;
    }

    /** Where further types of messages are registered. */
    public ControlHandlers handlers() {
        return handlers;
    }

    /** This host's address for control messages. */
    public PeerAddress address() {
        return membership.view().self().controlAddress();
    }

    /** Takes in a configuration that the store accepted on this host's request. */
    public Either<Failure, Boolean> offer(Snapshot accepted) {
        return spread.offer(accepted);
    }

    /** Tells all hosts that this one leaves and gives the lease up; call it first in a graceful stop. */
    public void leave() {
        leader.close();
        membership.leave();
    }

    /** Stops taking part and closes every connection. */
    @Override
    public void close() {
        spread.close();
        membership.close();
        leader.close();
        client.close();
        server.close();
    }

    private boolean candidate() {
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
