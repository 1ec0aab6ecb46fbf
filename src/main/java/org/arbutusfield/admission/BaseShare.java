package org.arbutusfield.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slots that a host uses on its own while it cannot reach the broker.
 *
 * <p>Each slot of each server has one fallback host at a time: the first by rendezvous hashing of server and slot
 * number whose share is not yet full. A full share is the slots divided by the hosts, rounded up, so with three slots a
 * server and six hosts each slot of a server usually has another host. Hosts with the same list of live hosts get
 * shares that sum to the slots exactly; with differing lists a slot may have two hosts for a while, and the server
 * sheds.
 */
public final class BaseShare {
    private BaseShare() {}

    /**
     * The share of one host.
     *
     * @param host the host
     * @param hosts names of the live hosts of the region, this one included
     * @param servers servers of the service in the region
     * @return the servers of which the host may use slots, with the number of slots it may use
     */
    public static List<SlotServer> of(String host, Collection<String> hosts, Collection<SlotServer> servers) {
        int total = servers.stream().mapToInt(SlotServer::slots).sum();
        int most = hosts.isEmpty() ? 0 : (total + hosts.size() - 1) / hosts.size();
        Map<String, Integer> taken = new HashMap<>();
        List<SlotServer> share = new ArrayList<>();
        for (SlotServer server : servers) {
            int own = 0;
            for (int slot = 0; slot < server.slots(); slot++) {
                String fallback = fallbackHost(server.upstream() + "#" + slot, hosts, taken, most);
                taken.merge(fallback, 1, Integer::sum);
                own += fallback.equals(host) ? 1 : 0;
            }
            if (own > 0) {
                share.add(new SlotServer(server.upstream(), server.failureDomain(), own, server.drained()));
            }
        }
        return share;
    }

    private static String fallbackHost(String slot, Collection<String> hosts, Map<String, Integer> taken, int most) {
        for (String host : Rendezvous.ranking(slot, hosts)) {
            if (taken.getOrDefault(host, 0) < most) {
                return host;
            }
        }
        return "";
    }
}
