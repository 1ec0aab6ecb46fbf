package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slots that a host may use on its own while it cannot reach the broker.
 *
 * <p>Each slot of each upstream is assigned to one fallback host: the first host, in the order of rendezvous hashing of
 * upstream and slot number, whose share is not yet full. A full share is the number of slots divided by the number of
 * hosts, rounded up, so with three slots per upstream and six hosts the slots of an upstream usually belong to
 * different hosts. If all hosts have the same list of live hosts, their shares add up to exactly the available slots.
 * While the lists differ, a slot may be assigned to two hosts, and the upstream sheds the excess requests.
 */
public final class BaseShare {
    private BaseShare() {}

    /**
     * Returns the share of one host.
     *
     * @param host the host
     * @param hosts names of the live hosts of the region, including this one
     * @param servers upstreams of the service in the region
     * @return the upstreams of which the host may use slots, each with the number of slots it may use
     */
    public static List<UpstreamSlots> of(String host, Collection<String> hosts, Collection<UpstreamSlots> servers) {
        int total = servers.stream().mapToInt(UpstreamSlots::slots).sum();
        int maxPerHost = hosts.isEmpty() ? 0 : (total + hosts.size() - 1) / hosts.size();
        Map<String, Integer> assigned = new HashMap<>();
        List<UpstreamSlots> share = new ArrayList<>();
        for (UpstreamSlots server : servers) {
            int ownSlots = 0;
            for (int slot = 0; slot < server.slots(); slot++) {
                String fallback = fallbackHost(server.upstream() + "#" + slot, hosts, assigned, maxPerHost);
                assigned.merge(fallback, 1, Integer::sum);
                ownSlots += fallback.equals(host) ? 1 : 0;
            }
            if (ownSlots > 0) {
                share.add(new UpstreamSlots(server.upstream(), server.failureDomain(), ownSlots, server.drained()));
            }
        }
        return share;
    }

    private static String fallbackHost(
            String slot, Collection<String> hosts, Map<String, Integer> assigned, int maxPerHost) {
        for (String host : Rendezvous.ranking(slot, hosts)) {
            if (assigned.getOrDefault(host, 0) < maxPerHost) {
                return host;
            }
        }
        return "";
    }
}
