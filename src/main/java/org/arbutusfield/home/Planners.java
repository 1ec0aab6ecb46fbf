package org.arbutusfield.home;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.follow.HostEntry;
import org.arbutusfield.lookup.Rendezvous;

/**
 * Which host plans a service: among the hosts with the most processor capacity, the first by rendezvous on the service.
 * All hosts that know the same hosts name the same one.
 */
final class Planners {
    private Planners() {}

    static Optional<HostEntry> of(String service, List<HostEntry> hosts) {
        int most = hosts.stream().mapToInt(HostEntry::capacity).max().orElse(0);
        long key = Rendezvous.hash(service);
        return hosts.stream()
                .filter(host -> host.capacity() == most)
                .max(Comparator.comparingDouble(host -> Rendezvous.score(Rendezvous.hash(host.name()), key, 1)));
    }
}
