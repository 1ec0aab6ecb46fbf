package org.arbutusfield.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusfield.lab.control.InMemorySnapshotStore;
import org.arbutusfield.lab.control.VirtualHost;
import org.arbutusfield.lab.control.VirtualNetwork;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.timer.VirtualTimer;
import org.arbutusfield.wire.PeerAddress;

/**
 * Hosts in six failure domains of three regions, in virtual time, with a history of the revisions that each of them
 * installed.
 */
final class VirtualFleet {
    private static final List<String> DOMAINS =
            List.of("gulf-a", "gulf-b", "piedmont-a", "piedmont-b", "delta-a", "delta-b");

    final VirtualTimer timer = VirtualTimer.create();
    final VirtualNetwork network;
    final InMemorySnapshotStore store;
    final Map<String, VirtualHost> hosts = new TreeMap<>();
    final List<Installation> history = new ArrayList<>();
    private final List<PeerAddress> seeds;
    private long nextIncarnation = 1;

    VirtualFleet(long seed, int count) {
        network = VirtualNetwork.create(timer, seed);
        store = InMemorySnapshotStore.create(timer);
        seeds = List.of(memberAt(0, 0).controlAddress(), memberAt(4, 0).controlAddress());
        for (int i = 0; i < count; i++) {
            start(i);
        }
    }

    /** Starts the i-th host, or a new process in its place. */
    VirtualHost start(int index) {
        Member self = memberAt(index, nextIncarnation++);
        VirtualHost host = VirtualHost.start(self, seeds, timer, network, store);
        hosts.put(self.name(), host);
        host.running()
                .subscribe(snapshot -> history.add(new Installation(
                        self.name() + "/" + self.incarnation(), snapshot.revisionId(), timer.nowNanos())));
        return host;
    }

    VirtualHost host(int index) {
        return hosts.get(memberAt(index, 0).name());
    }

    void run(Duration time) {
        timer.advance(time);
    }

    /**
     * Advances time until all live hosts have the revision in force, at most by the given time; returns whether they
     * have it.
     */
    boolean converges(RevisionId revisionId, Duration atMost) {
        long endNanos = timer.nowNanos() + atMost.toNanos();
        while (timer.nowNanos() < endNanos) {
            if (inForceEverywhere(revisionId)) {
                return true;
            }
            run(Duration.ofMillis(50));
        }
        return inForceEverywhere(revisionId);
    }

    private boolean inForceEverywhere(RevisionId revisionId) {
        return hosts.values().stream()
                .filter(host -> host.hostTimer().alive())
                .allMatch(host -> host.running().announcement().equals(revisionId.announcement()));
    }

    /** Number of other live hosts that know the named member in this state. */
    long countHostsWithState(String name, MemberState state) {
        return hosts.values().stream()
                .filter(host -> host.hostTimer().alive() && !host.self().name().equals(name))
                .filter(host -> host.membership()
                        .view()
                        .find(name)
                        .map(Member::state)
                        .filter(state::equals)
                        .isPresent())
                .count();
    }

    private static Member memberAt(int index, long incarnation) {
        String domain = DOMAINS.get(index % DOMAINS.size());
        return VirtualHost.member(
                domain.substring(0, domain.indexOf('-')), domain, index / DOMAINS.size(), incarnation);
    }

    record Installation(String process, RevisionId revisionId, long atNanos) {}
}
