package org.arbutusfield.reach;

import java.util.Comparator;
import java.util.List;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.HostEntry;

/** Selects hosts for a key, equally on all hosts that have the same list. */
public final class RendezvousHosts {
    private RendezvousHosts() {}

    /**
     * Returns the first hosts in the key's rendezvous order.
     *
     * @param key the key
     * @param hosts the hosts to select from
     * @param count number of hosts at most
     */
    public static List<HostEntry> first(String key, List<HostEntry> hosts, int count) {
        long hash = WeightedRendezvous.hash(key);
        return hosts.stream()
                .sorted(Comparator.comparingDouble((HostEntry host) ->
                                WeightedRendezvous.score(WeightedRendezvous.hash(host.name()), hash, 1))
                        .reversed())
                .limit(count)
                .toList();
    }
}
