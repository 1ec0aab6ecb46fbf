package org.arbutusfield.affinity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.HostEntry;

/**
 * Selects the host that plans a service: the first in the service's rendezvous order among the hosts with the largest
 * processor capacity. All hosts with the same list of hosts select the same planner.
 */
final class PlannerSelection {
    private PlannerSelection() {}

    static Optional<HostEntry> plannerOf(String service, List<HostEntry> hosts) {
        int maxCapacity = hosts.stream().mapToInt(HostEntry::capacity).max().orElse(0);
        long key = WeightedRendezvous.hash(service);
        return hosts.stream()
                .filter(host -> host.capacity() == maxCapacity)
                .max(Comparator.comparingDouble(
                        host -> WeightedRendezvous.score(WeightedRendezvous.hash(host.name()), key, 1)));
    }
}
