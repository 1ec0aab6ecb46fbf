package org.arbutusfield.quarantine;

import java.util.Comparator;
import java.util.List;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.HostEntry;

/** Selects the hosts that count the ends of upstreams under a request, equally on all hosts with the same list. */
final class LedgerHosts {
    /** One may be gone and one may be slow to answer. */
    static final int COPIES = 3;

    private LedgerHosts() {}

    /** Returns up to {@link #COPIES} of the hosts, in the order in which they publish what they find. */
    static List<HostEntry> of(String fingerprint, List<HostEntry> hosts) {
        long key = WeightedRendezvous.hash(fingerprint);
        return hosts.stream()
                .sorted(Comparator.comparingDouble((HostEntry host) ->
                                WeightedRendezvous.score(WeightedRendezvous.hash(host.name()), key, 1))
                        .reversed())
                .limit(COPIES)
                .toList();
    }
}
