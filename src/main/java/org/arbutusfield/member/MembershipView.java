package org.arbutusfield.member;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What one host holds of all hosts, as a pure state machine: input and time in, next view and messages out.
 *
 * <p>Problem: each host needs to know which of thousands of hosts are there, within seconds, at a cost per host that
 * doesn't grow with their number, from two sources that both err: the platform's list lags, and silence may mean a dead
 * host, a dead link, or that the listener itself was paused.
 *
 * <p>Idea: each host exchanges heartbeats with a fixed small number of peers ({@link PeerRings}) and watches just
 * these. What it concludes travels as statements ({@link Rumour}) on the heartbeats and a total order over the
 * statements of a member decides between them. Silence makes a suspect; a suspect that hears of it refutes it with a
 * higher count; otherwise it counts as dead after a while, on every host by its own timer. Dead members are still
 * tried, one per round, so that two halves of a divided fleet find each other. Tables whose digests stay different are
 * read from the peer.
 *
 * <p>Rules where sources contradict:
 *
 * <ul>
 *   <li>A host that answers is there, even if the list lacks it. Absence from the list removes nobody.
 *   <li>A host that is silent is dead, even if the list has it, until it answers.
 *   <li>Leaving wins from either side, until a higher incarnation shows.
 *   <li>A host all of whose peers are silent accuses none: it is the one cut off. A host that was itself paused starts
 *       its watch over when it wakes.
 * </ul>
 *
 * <p>Invariants: what is held of a member only moves up the order of statements; the own record is never anything but
 * alive or leaving; messages per round are at most the number of rings plus one.
 *
 * <p>Example: a, b and c are there; a watches b. b dies. After {@code suspectAfter} a holds b suspect and says so; c
 * hears it; after {@code deadAfter} both hold b dead. b restarts with a higher incarnation and is alive in the view of
 * whomever it sends its first heartbeat to, and one exchange later in all others.
 */
public final class MembershipView {
    /** Largest number of statements in an answer to a request for a table. */
    public static final int MAX_TABLE_RUMOURS = 400;

    final MembershipLimits limits;
    final Rumour self;
    final MemberTable table;
    final HashMap<String, Integer> rumours;
    final HashMap<String, Long> lastAckNanos;
    final HashMap<String, Long> changedNanos;
    final List<String> peers;
    final boolean retarget;
    final long lastTickNanos;
    final long lastSyncNanos;
    final int mismatches;
    final int probes;

    MembershipView(MutableMembershipView draft) {
        this.limits = draft.limits;
        this.self = draft.self;
        this.table = draft.table;
        this.rumours = draft.rumours;
        this.lastAckNanos = draft.lastAckNanos;
        this.changedNanos = draft.changedNanos;
        this.peers = draft.peers;
        this.retarget = draft.retarget;
        this.lastTickNanos = draft.lastTickNanos;
        this.lastSyncNanos = draft.lastSyncNanos;
        this.mismatches = draft.mismatches;
        this.probes = draft.probes;
    }

    private MembershipView(Member self, MemberTable table, MembershipLimits limits, long nowNanos) {
        this.limits = limits;
        this.self = new Rumour(self.withState(MemberState.ALIVE), 0);
        this.table = table.with(this.self);
        this.rumours = HashMap.of(self.name(), limits.rumourRounds());
        this.lastAckNanos = HashMap.empty();
        this.changedNanos = HashMap.empty();
        this.peers = List.of();
        this.retarget = true;
        this.lastTickNanos = nowNanos;
        this.lastSyncNanos = nowNanos;
        this.mismatches = 0;
        this.probes = 0;
    }

    /** The view of a host that starts and knows of no other. */
    public static MembershipView start(Member self, MembershipLimits limits, long nowNanos) {
        return new MembershipView(self, MemberTable.empty(), limits, nowNanos);
    }

    /** The view of a host that starts with a table it was given. */
    public static MembershipView start(Member self, MemberTable known, MembershipLimits limits, long nowNanos) {
        return new MembershipView(self, known, limits, nowNanos);
    }

    /** This host. */
    public Member self() {
        return self.member();
    }

    /** All that is held. */
    public MemberTable table() {
        return table;
    }

    /** The members to which heartbeats go at present. */
    public List<String> peers() {
        return peers;
    }

    /** What is held of a member. */
    public Optional<Member> find(String name) {
        return table.find(name).map(Rumour::member);
    }

    /** The members that may be given work: alive, this host included. */
    public List<Member> alive() {
        List<Member> alive = new ArrayList<>();
        for (Rumour rumour : table.rumours()) {
            if (rumour.state() == MemberState.ALIVE) {
                alive.add(rumour.member());
            }
        }
        return alive;
    }

    /** Regular round: judges silence, then sends heartbeats to all peers. */
    public MembershipTransition tick(long nowNanos, RevisionAnnouncement announcement) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        draft.judge();
        draft.broadcast(announcement);
        draft.probeDead(announcement);
        return draft.step();
    }

    /** How many present members of this host's failure domain come before it in an order that all hosts agree on. */
    public int rankInDomain() {
        long own = Hashing.mix(Hashing.name(self().name()));
        int rank = 0;
        for (Rumour rumour : table.rumours()) {
            boolean sameDomain = rumour.member().failureDomain().equals(self().failureDomain());
            boolean counts = sameDomain && rumour.state().present();
            if (counts
                    && Long.compareUnsigned(
                                    Hashing.mix(Hashing.name(rumour.member().name())), own)
                            < 0) {
                rank++;
            }
        }
        return rank;
    }

    /** The heartbeat by which a host that knows no other presents itself to a seed. */
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

    /** Sends heartbeats to all peers now, because there is news. */
    public MembershipTransition flush(long nowNanos, RevisionAnnouncement announcement) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        draft.broadcast(announcement);
        return draft.step();
    }

    /** Takes in a peer's heartbeat and answers it. */
    public MembershipTransition onHeartbeat(Heartbeat heartbeat, long nowNanos, RevisionAnnouncement announcement) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        boolean known = draft.heard(heartbeat);
        draft.reply(heartbeat, known, announcement);
        return draft.step();
    }

    /** Takes in the response to an own heartbeat. */
    public MembershipTransition onResponse(Heartbeat response, long nowNanos) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        draft.heard(response);
        draft.acknowledged(response);
        return draft.step();
    }

    /** Takes in the platform's list of live and leaving hosts; the order of statements settles contradictions. */
    public MembershipTransition onHostList(List<Member> list, long nowNanos) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        for (Member member : list) {
            draft.merge(new Rumour(member, 0), true);
        }
        return draft.step();
    }

    /** Takes in statements read from a peer's table. */
    public MembershipTransition onTable(List<Rumour> statements, long nowNanos) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        for (Rumour rumour : statements) {
            draft.merge(rumour, false);
        }
        return draft.step();
    }

    /** Says that this host leaves. */
    public MembershipTransition leave(long nowNanos) {
        MutableMembershipView draft = new MutableMembershipView(this, nowNanos);
        draft.leave();
        return draft.step();
    }
}
