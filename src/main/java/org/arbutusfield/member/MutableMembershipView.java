package org.arbutusfield.member;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The next view of a {@link MembershipView} while one input is worked in. Lives for one step on one thread. */
final class MutableMembershipView {
    private static final int MISMATCHES_BEFORE_SYNC = 3;
    private static final int PAUSED_INTERVALS = 2;

    final MembershipLimits limits;
    Rumour self;
    MemberTable table;
    HashMap<String, Integer> rumours;
    HashMap<String, Long> lastAckNanos;
    HashMap<String, Long> changedNanos;
    List<String> peers;
    boolean retarget;
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
        this.retarget = view.retarget;
        this.lastTickNanos = view.lastTickNanos;
        this.lastSyncNanos = view.lastSyncNanos;
        this.mismatches = view.mismatches;
        this.probes = view.probes;
        this.nowNanos = nowNanos;
    }

    MembershipTransition step() {
        return new MembershipTransition(new MembershipView(this), outgoing, reply, syncWith, urgent);
    }

    /** Turns silence into suspicion, suspicion into death, and forgets who is long gone. */
    void judge() {
        boolean paused = nowNanos - lastTickNanos > limits.interval().toNanos() * PAUSED_INTERVALS;
        lastTickNanos = nowNanos;
        if (paused) {
            lastAckNanos = lastAckNanos.mapValues(old -> nowNanos);
            changedNanos = changedNanos.mapValues(old -> nowNanos);
            return;
        }
        accuse();
        for (io.vavr.Tuple2<String, Long> change : changedNanos) {
            expire(change._1, nowNanos - change._2);
        }
    }

    /** Sends a heartbeat to every peer, all with the same statements. */
    void broadcast(RevisionAnnouncement announcement) {
        retarget();
        List<Rumour> news = news(List.of());
        for (String name : peers) {
            table.find(name).ifPresent(peer -> send(peer, news, announcement));
        }
        for (Rumour rumour : news) {
            int rounds = rumours.getOrElse(rumour.member().name(), 0) - 1;
            rumours = rounds > 0
                    ? rumours.put(rumour.member().name(), rounds)
                    : rumours.remove(rumour.member().name());
        }
    }

    /** Tries one dead member, each round another. */
    void probeDead(RevisionAnnouncement announcement) {
        List<Rumour> dead = new ArrayList<>();
        for (String name : changedNanos.keySet()) {
            table.find(name).filter(r -> r.state() == MemberState.DEAD).ifPresent(dead::add);
        }
        if (dead.isEmpty()) {
            return;
        }
        int offset = (int) Long.remainderUnsigned(Hashing.name(self.member().name()) + probes, dead.size());
        probes++;
        Rumour probed = dead.get(offset);
        send(probed, List.of(self, probed), announcement);
    }

    /**
     * Takes in a heartbeat's content.
     *
     * @return false when this host lacks the sender's record
     */
    boolean heard(Heartbeat heartbeat) {
        for (Rumour rumour : heartbeat.rumours()) {
            merge(rumour, true);
        }
        Rumour held = table.find(heartbeat.name()).orElse(null);
        if (held == null || held.member().incarnation() < heartbeat.incarnation()) {
            return false;
        }
        if (held.member().incarnation() == heartbeat.incarnation()) {
            Member said = held.member().withState(heartbeat.state());
            merge(new Rumour(said, heartbeat.refutation()), true);
        }
        return true;
    }

    void reply(Heartbeat heartbeat, boolean known, RevisionAnnouncement announcement) {
        List<Rumour> first = new ArrayList<>();
        if (heartbeat.introduce()) {
            first.add(self);
        }
        table.find(heartbeat.name())
                .filter(held -> contradicts(held, heartbeat))
                .ifPresent(first::add);
        List<Rumour> news = news(first);
        news.removeAll(heartbeat.rumours());
        reply = Optional.of(heartbeat(!known, news, announcement));
    }

    void acknowledged(Heartbeat response) {
        if (peers.contains(response.name())) {
            lastAckNanos = lastAckNanos.put(response.name(), nowNanos);
        }
        if (response.introduce()) {
            rumours = rumours.put(self.member().name(), limits.rumourRounds());
            urgent = true;
        }
        Rumour held = table.find(response.name()).orElse(null);
        if (held != null && held.member().incarnation() < response.incarnation()) {
            outgoing.add(
                    new OutgoingHeartbeat(held.member(), heartbeat(true, List.of(self), RevisionAnnouncement.NONE)));
        }
        if (held != null && contradicts(held, response)) {
            rumours = rumours.put(response.name(), 1);
        }
        boolean spreading = !rumours.isEmpty() && rumours.size() < limits.maxQueued();
        mismatches = !spreading && response.tableDigest() != table.digest() ? mismatches + 1 : 0;
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
     * Takes a statement in if it supersedes what is held.
     *
     * @param spread whether to pass it on
     */
    void merge(Rumour rumour, boolean spread) {
        String name = rumour.member().name();
        if (name.equals(self.member().name())) {
            mergeSelf(rumour);
            return;
        }
        Rumour held = table.find(name).orElse(null);
        if (held == null && !rumour.state().present()) {
            return;
        }
        if (held != null && !rumour.supersedes(held)) {
            return;
        }
        hold(rumour, held);
        boolean last = rumour.state() == MemberState.LEAVING;
        if (spread && (last || rumours.size() < limits.maxQueued())) {
            rumours = rumours.put(name, limits.rumourRounds());
            urgent |= last || (pressing(rumour, held) && rumours.size() <= limits.maxRumours());
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
        boolean accused = rumour.state() != MemberState.ALIVE && rumour.refutation() >= self.refutation();
        if (accused) {
            replaceSelf(new Rumour(self.member(), rumour.refutation() + 1));
        }
    }

    private void replaceSelf(Rumour next) {
        self = next;
        table = table.with(next);
        rumours = rumours.put(next.member().name(), limits.rumourRounds());
        urgent = true;
    }

    private void hold(Rumour rumour, Rumour held) {
        String name = rumour.member().name();
        table = table.with(rumour);
        changedNanos =
                rumour.state() == MemberState.ALIVE ? changedNanos.remove(name) : changedNanos.put(name, nowNanos);
        boolean wasPresent = held != null && held.state().present();
        if (rumour.state().present() != wasPresent) {
            retarget |= !wasPresent || peers.contains(name);
        }
    }

    private static boolean pressing(Rumour rumour, Rumour held) {
        return rumour.state() == MemberState.ALIVE && (held == null || held.state() != MemberState.ALIVE);
    }

    private void accuse() {
        List<Rumour> silent = new ArrayList<>();
        for (String name : peers) {
            long sinceAck = nowNanos - lastAckNanos.getOrElse(name, nowNanos);
            if (sinceAck >= limits.suspectAfter().toNanos()) {
                table.find(name).ifPresent(silent::add);
            }
        }
        boolean cutOff = peers.size() > 1 && silent.size() == peers.size();
        if (cutOff) {
            return;
        }
        for (Rumour rumour : silent) {
            if (rumour.state() == MemberState.ALIVE) {
                merge(rumour.withState(MemberState.SUSPECT), true);
            }
        }
    }

    private void expire(String name, long sinceChangeNanos) {
        Rumour held = table.find(name).orElse(null);
        if (held == null) {
            changedNanos = changedNanos.remove(name);
            return;
        }
        if (held.state() == MemberState.SUSPECT
                && sinceChangeNanos >= limits.deadAfter().toNanos()) {
            merge(held.withState(MemberState.DEAD), false);
            return;
        }
        if (!held.state().present() && sinceChangeNanos >= limits.forgetAfter().toNanos()) {
            table = table.without(name);
            changedNanos = changedNanos.remove(name);
            rumours = rumours.remove(name);
        }
    }

    private void retarget() {
        if (!retarget) {
            return;
        }
        retarget = false;
        peers = PeerRings.peers(self.member(), table, limits);
        HashMap<String, Long> watched = HashMap.empty();
        for (String name : peers) {
            watched = watched.put(name, lastAckNanos.getOrElse(name, nowNanos));
        }
        lastAckNanos = watched;
    }

    /** What to pass on with the next message: the given statements, then members that leave, then other news. */
    private List<Rumour> news(List<Rumour> first) {
        List<Rumour> news = new ArrayList<>(first);
        List<Rumour> others = new ArrayList<>();
        for (String name : rumours.keySet()) {
            table.find(name).ifPresent(rumour -> (rumour.state() == MemberState.LEAVING ? news : others).add(rumour));
        }
        news.addAll(others);
        return new ArrayList<>(news.subList(0, Math.min(news.size(), limits.maxRumours())));
    }

    private void send(Rumour to, List<Rumour> news, RevisionAnnouncement announcement) {
        outgoing.add(new OutgoingHeartbeat(to.member(), heartbeat(false, news, announcement)));
    }

    private Heartbeat heartbeat(boolean introduce, List<Rumour> news, RevisionAnnouncement announcement) {
        return new Heartbeat(
                self.member().name(),
                self.member().incarnation(),
                self.state(),
                self.refutation(),
                announcement,
                table.digest(),
                introduce,
                news);
    }

    private static boolean contradicts(Rumour held, Heartbeat heartbeat) {
        if (held.member().incarnation() != heartbeat.incarnation()) {
            return held.member().incarnation() > heartbeat.incarnation();
        }
        return held.state() != MemberState.ALIVE && held.state() != heartbeat.state();
    }
}
