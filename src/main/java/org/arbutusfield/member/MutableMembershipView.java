package org.arbutusfield.member;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Mutable copy of a {@link MembershipView} to which one input is applied. Used for one transition by one thread. */
final class MutableMembershipView {
    private static final int MISMATCHES_BEFORE_SYNC = 3;
    private static final int PAUSE_INTERVALS = 2;

    final MembershipLimits limits;
    Rumour self;
    MemberTable table;
    HashMap<String, Integer> rumours;
    HashMap<String, Long> lastAckNanos;
    HashMap<String, Long> changedNanos;
    List<String> peers;
    boolean peersOutdated;
    long lastTickNanos;
    long lastSyncNanos;
    int mismatches;
    int probes;

    private final long nowNanos;
    private final List<OutgoingHeartbeat> outgoing = new ArrayList<>();
    private Optional<Heartbeat> reply = Optional.empty();
    private Optional<Member> syncWith = Optional.empty();
    private boolean urgent;

    MutableMembershipView(MembershipView view, long nowNanos) {
        this.limits = view.limits;
        this.self = view.self;
        this.table = view.table;
        this.rumours = view.rumours;
        this.lastAckNanos = view.lastAckNanos;
        this.changedNanos = view.changedNanos;
        this.peers = view.peers;
        this.peersOutdated = view.peersOutdated;
        this.lastTickNanos = view.lastTickNanos;
        this.lastSyncNanos = view.lastSyncNanos;
        this.mismatches = view.mismatches;
        this.probes = view.probes;
        this.nowNanos = nowNanos;
    }

    MembershipTransition transition() {
        return new MembershipTransition(new MembershipView(this), outgoing, reply, syncWith, urgent);
    }

    /**
     * Suspects silent peers, declares suspects dead after a timeout, and forgets members that left or died long ago.
     */
    void updateStates() {
        boolean paused = nowNanos - lastTickNanos > limits.interval().toNanos() * PAUSE_INTERVALS;
        lastTickNanos = nowNanos;
        if (paused) {
            lastAckNanos = lastAckNanos.mapValues(old -> nowNanos);
            changedNanos = changedNanos.mapValues(old -> nowNanos);
            return;
        }
        suspectSilentPeers();
        for (io.vavr.Tuple2<String, Long> change : changedNanos) {
            updateExpired(change._1, nowNanos - change._2);
        }
    }

    /** Sends a heartbeat with the same rumours to every peer. */
    void broadcast(RevisionAnnouncement announcement) {
        updatePeers();
        List<Rumour> selected = selectRumours(List.of());
        for (String name : peers) {
            table.find(name).ifPresent(peer -> send(peer, selected, announcement));
        }
        for (Rumour rumour : selected) {
            int rounds = rumours.getOrElse(rumour.member().name(), 0) - 1;
            rumours = rounds > 0
                    ? rumours.put(rumour.member().name(), rounds)
                    : rumours.remove(rumour.member().name());
        }
    }

    /** Sends a heartbeat to one dead member, a different one each round. */
    void probeDead(RevisionAnnouncement announcement) {
        List<Rumour> dead = new ArrayList<>();
        for (String name : changedNanos.keySet()) {
            table.find(name).filter(r -> r.state() == MemberState.DEAD).ifPresent(dead::add);
        }
        if (dead.isEmpty()) {
            return;
        }
        int offset = (int) Long.remainderUnsigned(Hashing.fnv1a(self.member().name()) + probes, dead.size());
        probes++;
        Rumour probed = dead.get(offset);
        send(probed, List.of(self, probed), announcement);
    }

    /**
     * Merges the sender's state and the rumours of a heartbeat.
     *
     * @return false when this host lacks the sender's record
     */
    boolean mergeHeartbeat(Heartbeat heartbeat) {
        for (Rumour rumour : heartbeat.rumours()) {
            merge(rumour, true);
        }
        Rumour current = table.find(heartbeat.name()).orElse(null);
        if (current == null || current.member().incarnation() < heartbeat.incarnation()) {
            return false;
        }
        if (current.member().incarnation() == heartbeat.incarnation()) {
            Member reported = current.member().withState(heartbeat.state());
            merge(new Rumour(reported, heartbeat.refutation()), true);
        }
        return true;
    }

    void reply(Heartbeat heartbeat, boolean hasSenderRecord, RevisionAnnouncement announcement) {
        List<Rumour> first = new ArrayList<>();
        if (heartbeat.introduce()) {
            first.add(self);
        }
        table.find(heartbeat.name())
                .filter(current -> contradicts(current, heartbeat))
                .ifPresent(first::add);
        List<Rumour> selected = selectRumours(first);
        selected.removeAll(heartbeat.rumours());
        reply = Optional.of(heartbeat(!hasSenderRecord, selected, announcement));
    }

    void onResponse(Heartbeat response) {
        if (peers.contains(response.name())) {
            lastAckNanos = lastAckNanos.put(response.name(), nowNanos);
        }
        if (response.introduce()) {
            rumours = rumours.put(self.member().name(), limits.rumourRounds());
            urgent = true;
        }
        Rumour current = table.find(response.name()).orElse(null);
        if (current != null && current.member().incarnation() < response.incarnation()) {
            outgoing.add(
                    new OutgoingHeartbeat(current.member(), heartbeat(true, List.of(self), RevisionAnnouncement.NONE)));
        }
        if (current != null && contradicts(current, response)) {
            rumours = rumours.put(response.name(), 1);
        }
        boolean gossiping = !rumours.isEmpty() && rumours.size() < limits.maxQueued();
        mismatches = !gossiping && response.tableDigest() != table.digest() ? mismatches + 1 : 0;
        if (mismatches >= MISMATCHES_BEFORE_SYNC
                && nowNanos - lastSyncNanos >= limits.suspectAfter().toNanos()) {
            mismatches = 0;
            lastSyncNanos = nowNanos;
            syncWith = table.find(response.name()).map(Rumour::member);
        }
    }

    void leave() {
        replaceSelf(self.withState(MemberState.LEAVING));
    }

    /**
     * Stores a rumour if it supersedes the current one about the same member.
     *
     * @param gossip whether to pass the rumour on
     */
    void merge(Rumour rumour, boolean gossip) {
        String name = rumour.member().name();
        if (name.equals(self.member().name())) {
            mergeSelf(rumour);
            return;
        }
        Rumour current = table.find(name).orElse(null);
        if (current == null && !rumour.state().present()) {
            return;
        }
        if (current != null && !rumour.supersedes(current)) {
            return;
        }
        store(rumour, current);
        boolean leaving = rumour.state() == MemberState.LEAVING;
        if (gossip && (leaving || rumours.size() < limits.maxQueued())) {
            rumours = rumours.put(name, limits.rumourRounds());
            urgent |= leaving || (becomesAlive(rumour, current) && rumours.size() <= limits.maxRumours());
        }
    }

    private void mergeSelf(Rumour rumour) {
        if (rumour.member().incarnation() != self.member().incarnation() || self.state() == MemberState.LEAVING) {
            return;
        }
        if (rumour.state() == MemberState.LEAVING) {
            leave();
            return;
        }
        boolean suspected = rumour.state() != MemberState.ALIVE && rumour.refutation() >= self.refutation();
        if (suspected) {
            replaceSelf(new Rumour(self.member(), rumour.refutation() + 1));
        }
    }

    private void replaceSelf(Rumour next) {
        self = next;
        table = table.with(next);
        rumours = rumours.put(next.member().name(), limits.rumourRounds());
        urgent = true;
    }

    private void store(Rumour rumour, Rumour current) {
        String name = rumour.member().name();
        table = table.with(rumour);
        changedNanos =
                rumour.state() == MemberState.ALIVE ? changedNanos.remove(name) : changedNanos.put(name, nowNanos);
        boolean wasPresent = current != null && current.state().present();
        if (rumour.state().present() != wasPresent) {
            peersOutdated |= !wasPresent || peers.contains(name);
        }
    }

    private static boolean becomesAlive(Rumour rumour, Rumour current) {
        return rumour.state() == MemberState.ALIVE && (current == null || current.state() != MemberState.ALIVE);
    }

    private void suspectSilentPeers() {
        List<Rumour> silent = new ArrayList<>();
        for (String name : peers) {
            long sinceAck = nowNanos - lastAckNanos.getOrElse(name, nowNanos);
            if (sinceAck >= limits.suspectAfter().toNanos()) {
                table.find(name).ifPresent(silent::add);
            }
        }
        boolean isolated = peers.size() > 1 && silent.size() == peers.size();
        if (isolated) {
            return;
        }
        for (Rumour rumour : silent) {
            if (rumour.state() == MemberState.ALIVE) {
                merge(rumour.withState(MemberState.SUSPECT), true);
            }
        }
    }

    private void updateExpired(String name, long unchangedNanos) {
        Rumour current = table.find(name).orElse(null);
        if (current == null) {
            changedNanos = changedNanos.remove(name);
            return;
        }
        if (current.state() == MemberState.SUSPECT
                && unchangedNanos >= limits.deadAfter().toNanos()) {
            merge(current.withState(MemberState.DEAD), false);
            return;
        }
        if (!current.state().present() && unchangedNanos >= limits.forgetAfter().toNanos()) {
            table = table.without(name);
            changedNanos = changedNanos.remove(name);
            rumours = rumours.remove(name);
        }
    }

    private void updatePeers() {
        if (!peersOutdated) {
            return;
        }
        peersOutdated = false;
        peers = PeerRings.peers(self.member(), table, limits);
        HashMap<String, Long> monitored = HashMap.empty();
        for (String name : peers) {
            monitored = monitored.put(name, lastAckNanos.getOrElse(name, nowNanos));
        }
        lastAckNanos = monitored;
    }

    /** Rumours to send with the next message: the given ones, then those about leaving members, then the others. */
    private List<Rumour> selectRumours(List<Rumour> first) {
        List<Rumour> selected = new ArrayList<>(first);
        List<Rumour> others = new ArrayList<>();
        for (String name : rumours.keySet()) {
            table.find(name)
                    .ifPresent(rumour -> (rumour.state() == MemberState.LEAVING ? selected : others).add(rumour));
        }
        selected.addAll(others);
        return new ArrayList<>(selected.subList(0, Math.min(selected.size(), limits.maxRumours())));
    }

    private void send(Rumour to, List<Rumour> selected, RevisionAnnouncement announcement) {
        outgoing.add(new OutgoingHeartbeat(to.member(), heartbeat(false, selected, announcement)));
    }

    private Heartbeat heartbeat(boolean introduce, List<Rumour> selected, RevisionAnnouncement announcement) {
        return new Heartbeat(
                self.member().name(),
                self.member().incarnation(),
                self.state(),
                self.refutation(),
                announcement,
                table.digest(),
                introduce,
                selected);
    }

    private static boolean contradicts(Rumour current, Heartbeat heartbeat) {
        if (current.member().incarnation() != heartbeat.incarnation()) {
            return current.member().incarnation() > heartbeat.incarnation();
        }
        return current.state() != MemberState.ALIVE && current.state() != heartbeat.state();
    }
}
