package org.arbutusfield.member;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What one host knows of all hosts, as a pure state machine: an input and the time give the next view and the messages
 * to send.
 *
 * <p>Problem: each host needs to know, within seconds, which of thousands of hosts are present, at a cost per host that
 * does not grow with their number. Both sources of information can be wrong: the platform's list lags, and silence may
 * mean a dead host, a broken link, or that the observing host itself was paused.
 *
 * <p>Idea: each host exchanges heartbeats with a small fixed number of peers ({@link PeerRings}) and monitors only
 * these. Its conclusions travel on the heartbeats as gossip ({@link Rumour}), and a total order over the rumours about
 * a member decides between them. A silent peer becomes suspect. A suspect that learns of the suspicion refutes it with
 * a higher refutation count; otherwise each host declares it dead after a timeout of its own. Dead members are still
 * probed, one per round, so that the two sides of a network partition find each other again. When the table digest of a
 * peer stays different, the differing part of its table is read.
 *
 * <p>Rules for contradicting sources:
 *
 * <ul>
 *   <li>A host that responds is present, even if the list lacks it. Absence from the list removes no host.
 *   <li>A host that is silent is dead, even if the list contains it, until it responds.
 *   <li>Leaving wins, whichever source reports it, until a higher incarnation appears.
 *   <li>A host all of whose peers are silent suspects none of them, because the host itself is isolated. A host that
 *       was paused restarts its timeouts when it resumes.
 * </ul>
 *
 * <p>Invariants: a rumour is only replaced by one that supersedes it; a host's own record is always alive or leaving; a
 * round sends at most one message per ring plus one.
 *
 * <p>Example: a, b and c are present and a monitors b. b dies. After {@code suspectAfter}, a suspects b and tells c in
 * a heartbeat; after another {@code deadAfter} both regard b as dead. b restarts with a higher incarnation. The hosts
 * that receive its first heartbeat regard it as alive at once, the others one exchange later.
 */
public final class MembershipView {
    /** Limit for a response to a table request: once it has this many rumours, no further bucket is added. */
    public static final int MAX_TABLE_RUMOURS = 400;

    final MembershipLimits limits;
    final Rumour self;
    final MemberTable table;
    final HashMap<String, Integer> rumours;
    final HashMap<String, Long> lastAckNanos;
    final HashMap<String, Long> changedNanos;
    final List<String> peers;
    final boolean peersOutdated;
    final long lastTickNanos;
    final long lastSyncNanos;
    final int mismatches;
    final int probes;

    MembershipView(MutableMembershipView next) {
        this.limits = next.limits;
        this.self = next.self;
        this.table = next.table;
        this.rumours = next.rumours;
        this.lastAckNanos = next.lastAckNanos;
        this.changedNanos = next.changedNanos;
        this.peers = next.peers;
        this.peersOutdated = next.peersOutdated;
        this.lastTickNanos = next.lastTickNanos;
        this.lastSyncNanos = next.lastSyncNanos;
        this.mismatches = next.mismatches;
        this.probes = next.probes;
    }

    private MembershipView(Member self, MemberTable table, MembershipLimits limits, long nowNanos) {
        this.limits = limits;
        this.self = new Rumour(self.withState(MemberState.ALIVE), 0);
        this.table = table.with(this.self);
        this.rumours = HashMap.of(self.name(), limits.rumourRounds());
        this.lastAckNanos = HashMap.empty();
        this.changedNanos = HashMap.empty();
        this.peers = List.of();
        this.peersOutdated = true;
        this.lastTickNanos = nowNanos;
        this.lastSyncNanos = nowNanos;
        this.mismatches = 0;
        this.probes = 0;
    }

    /** The view of a host that starts and knows no other host. */
    public static MembershipView start(Member self, MembershipLimits limits, long nowNanos) {
        return new MembershipView(self, MemberTable.empty(), limits, nowNanos);
    }

    /** The view of a host that starts with the given table. */
    public static MembershipView start(Member self, MemberTable initialTable, MembershipLimits limits, long nowNanos) {
        return new MembershipView(self, initialTable, limits, nowNanos);
    }

    /** This host. */
    public Member self() {
        return self.member();
    }

    /** All known members. */
    public MemberTable table() {
        return table;
    }

    /** Names of the members to which heartbeats are sent at present. */
    public List<String> peers() {
        return peers;
    }

    /** A member as this host knows it. */
    public Optional<Member> find(String name) {
        return table.find(name).map(Rumour::member);
    }

    /** The members that may receive work: all that are alive, including this host. */
    public List<Member> alive() {
        List<Member> alive = new ArrayList<>();
        for (Rumour rumour : table.rumours()) {
            if (rumour.state() == MemberState.ALIVE) {
                alive.add(rumour.member());
            }
        }
        return alive;
    }

    /**
     * Regular round: updates the states of silent members, then sends heartbeats to all peers and to one dead member.
     */
    public MembershipTransition tick(long nowNanos, RevisionAnnouncement announcement) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        next.updateStates();
        next.broadcast(announcement);
        next.probeDead(announcement);
        return next.transition();
    }

    /**
     * Rank of this host in its failure domain: the number of present members that come before it in an order on which
     * all hosts agree.
     */
    public int rankInDomain() {
        long own = Hashing.mix(Hashing.fnv1a(self().name()));
        int rank = 0;
        for (Rumour rumour : table.rumours()) {
            boolean sameDomain = rumour.member().failureDomain().equals(self().failureDomain());
            boolean counts = sameDomain && rumour.state().present();
            if (counts
                    && Long.compareUnsigned(
                                    Hashing.mix(Hashing.fnv1a(rumour.member().name())), own)
                            < 0) {
                rank++;
            }
        }
        return rank;
    }

    /** The heartbeat with which a host that knows no other host introduces itself to a seed. */
    public Heartbeat introduction(RevisionAnnouncement announcement) {
        return new Heartbeat(
                self.member().name(),
                self.member().incarnation(),
                self.state(),
                self.refutation(),
                announcement,
                table.digest(),
                true,
                List.of(self));
    }

    /** Sends heartbeats to all peers at once, outside the regular round. */
    public MembershipTransition flush(long nowNanos, RevisionAnnouncement announcement) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        next.broadcast(announcement);
        return next.transition();
    }

    /** Handles a heartbeat of another host; the transition contains the response. */
    public MembershipTransition onHeartbeat(Heartbeat heartbeat, long nowNanos, RevisionAnnouncement announcement) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        boolean hasSenderRecord = next.mergeHeartbeat(heartbeat);
        next.reply(heartbeat, hasSenderRecord, announcement);
        return next.transition();
    }

    /** Handles the response to a heartbeat of this host. */
    public MembershipTransition onResponse(Heartbeat response, long nowNanos) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        next.mergeHeartbeat(response);
        next.onResponse(response);
        return next.transition();
    }

    /** Merges the platform's list of live and leaving hosts; the order of {@link Rumour} decides contradictions. */
    public MembershipTransition onHostList(List<Member> list, long nowNanos) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        for (Member member : list) {
            next.merge(new Rumour(member, 0), true);
        }
        return next.transition();
    }

    /** Merges rumours that were read from a peer's table; they are not passed on. */
    public MembershipTransition onTable(List<Rumour> rumours, long nowNanos) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        for (Rumour rumour : rumours) {
            next.merge(rumour, false);
        }
        return next.transition();
    }

    /** Marks this host as leaving. */
    public MembershipTransition leave(long nowNanos) {
        MutableMembershipView next = new MutableMembershipView(this, nowNanos);
        next.leave();
        return next.transition();
    }
}
