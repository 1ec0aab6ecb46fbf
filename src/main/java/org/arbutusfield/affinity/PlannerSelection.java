package org.arbutusfield.affinity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.lookup.Rendezvous;
import org.arbutusfield.state.HostEntry;

/**
 * Which host plans a service: among the hosts with the most processor capacity, the first by rendezvous on the service.
 * All hosts that know the same hosts name the same one.
 */
final class PlannerSelection {
    private PlannerSelection() {}

    static Optional<HostEntry> plannerOf(String service, List<HostEntry> hosts) {
        int maxCapacity = hosts.stream().mapToInt(HostEntry::capacity).max().orElse(0);
        long key = Rendezvous.hash(service);
        return hosts.stream()
                .filter(host -> host.capacity() == maxCapacity)
                .max(Comparator.comparingDouble(host -> Rendezvous.score(Rendezvous.hash(host.name()), key, 1)));
    }
}
