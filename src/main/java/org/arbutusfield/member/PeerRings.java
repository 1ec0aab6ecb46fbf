package org.arbutusfield.member;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the peers to which a host sends its heartbeats: a bounded number, however large the fleet.
 *
 * <p>Problem: every host must be monitored by several others, and gossip must reach all hosts within a few hops, at a
 * cost per host that does not grow with the fleet. Idea: the members are ordered on several rings, each by a different
 * hash of their names; a host's peers are its successors, one per ring. On every ring each host has exactly one
 * successor and one predecessor, so it is monitored by as many peers as it monitors, and the union of a few random
 * rings is an expander graph: distances grow with the logarithm of the number of hosts. Some rings contain only the
 * host's own failure domain, where links are short; the others contain all members.
 *
 * <p>Example: with 6,300 members and 3 global rings plus 5 in a domain of 90, each host has at most 8 peers.
 */
final class PeerRings {
    private static final long GLOBAL_RING_SEED = 0x6c6f62616cL;

    private PeerRings() {}

    /**
     * Names of the peers of a host among the present members of the table, in a fixed order, without the host itself.
     */
    static List<String> peers(Member self, MemberTable table, MembershipLimits limits) {
        int rings = limits.domainRings() + limits.globalRings();
        Member[] successors = new Member[rings];
        long[] distances = new long[rings];
        long selfHash = Hashing.fnv1a(self.name());
        for (Rumour rumour : table.rumours()) {
            Member member = rumour.member();
            if (!rumour.state().present() || member.name().equals(self.name())) {
                continue;
            }
            boolean sameDomain = member.failureDomain().equals(self.failureDomain());
            long nameHash = Hashing.fnv1a(member.name());
            for (int ring = sameDomain ? 0 : limits.domainRings(); ring < rings; ring++) {
                long seed = ring < limits.domainRings() ? ring : GLOBAL_RING_SEED + ring;
                long distance = Hashing.mix(nameHash ^ Hashing.mix(seed)) - Hashing.mix(selfHash ^ Hashing.mix(seed));
                if (successors[ring] == null || Long.compareUnsigned(distance, distances[ring]) < 0) {
                    successors[ring] = member;
                    distances[ring] = distance;
                }
            }
        }
        Set<String> peers = new LinkedHashSet<>();
        for (Member member : successors) {
            if (member != null) {
                peers.add(member.name());
            }
        }
        return new ArrayList<>(peers);
    }
}
