package org.arbutusfield.member;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Whom a host sends its heartbeats to: a bounded number of peers, however large the fleet.
 *
 * <p>Problem: every host must be watched by several others and news must reach all hosts within a few hops, at a cost
 * per host that doesn't grow. Idea: all members are ordered on several rings, each by another hash of their names; a
 * host's peers are its successors, one per ring. On every ring each host has exactly one successor and one predecessor,
 * so all are watched by as many peers as they watch, and the union of a few random rings is an expander: distances grow
 * with the logarithm of the fleet. Some rings hold the own failure domain only, where links are short; some hold all.
 *
 * <p>Example: with 6,300 members and 3 global rings plus 5 in a domain of 90, each host has at most 8 peers.
 */
final class PeerRings {
    private static final long GLOBAL = 0x6c6f62616cL;

    private PeerRings() {}

    /** The peers of a host among the present members of the table, in a fixed order, without itself. */
    static List<String> peers(Member self, MemberTable table, MembershipLimits limits) {
        int rings = limits.domainRings() + limits.globalRings();
        Member[] best = new Member[rings];
        long[] bestDistance = new long[rings];
        long own = Hashing.name(self.name());
        for (Rumour rumour : table.rumours()) {
            Member member = rumour.member();
            if (!rumour.state().present() || member.name().equals(self.name())) {
                continue;
            }
            boolean sameDomain = member.failureDomain().equals(self.failureDomain());
            long name = Hashing.name(member.name());
            for (int ring = sameDomain ? 0 : limits.domainRings(); ring < rings; ring++) {
                long seed = ring < limits.domainRings() ? ring : GLOBAL + ring;
                long distance = Hashing.mix(name ^ Hashing.mix(seed)) - Hashing.mix(own ^ Hashing.mix(seed));
                if (best[ring] == null || Long.compareUnsigned(distance, bestDistance[ring]) < 0) {
                    best[ring] = member;
                    bestDistance[ring] = distance;
                }
            }
        }
        Set<String> peers = new LinkedHashSet<>();
        for (Member member : best) {
            if (member != null) {
                peers.add(member.name());
            }
        }
        return new ArrayList<>(peers);
    }
}
