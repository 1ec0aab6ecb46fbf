package org.arbutusfield.quarantine;

import java.util.List;
import org.arbutusfield.reach.RendezvousHosts;
import org.arbutusfield.state.HostEntry;

/** Selects the hosts that count the ends of upstreams under a request, equally on all hosts with the same list. */
final class LedgerHosts {
    /** One may be gone and one may be slow to answer. */
    static final int COPIES = 3;

    private LedgerHosts() {}

    /** Returns up to {@link #COPIES} of the hosts, in the order in which they publish what they find. */
    static List<HostEntry> of(String fingerprint, List<HostEntry> hosts) {
        return RendezvousHosts.first(fingerprint, hosts, COPIES);
    }
}
