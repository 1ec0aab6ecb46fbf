package org.arbutusfield.edge;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.HostEntry;

/**
 * Selects the hosts for a look-up: those in the caller's failure domain, else in its region, else all. A failure domain
 * or region with a single live host is not enough, because callers need another one when it fails. Hosts that are cut
 * off from all upstreams are left out while there are others.
 *
 * <p>Problem: callers take one of the addresses at random, so a host with 0.21 cores would get as many callers as one
 * with 1.5 cores. An answer can't repeat an address, and a look-up names nothing that tells two callers apart.
 *
 * <p>Idea: answers differ. Where capacities differ by more than {@code ALIKE_RATIO}, a host is in an answer with a
 * probability proportional to its capacity, decided by a hash of its name and the number of the answer.
 *
 * <p>Invariants: each answer has at least two hosts if there are two. A host that comes or goes changes nothing for the
 * other hosts in an answer of the same number, unless it has the largest capacity or fewer than two others are left.
 *
 * <p>Example: of hosts with 1.5, 1.5 and 0.5 cores, the third is in a third of the answers.
 */
public final class NearbyHosts {
    private static final int MIN_HOSTS_FOR_FAILOVER = 2;
    private static final int MAX_HOSTS = 64;
    private static final double ALIKE_RATIO = 1.5;
    private static final double MANTISSA_UNIT = 0x1.0p-53;

    private NearbyHosts() {}

    /**
     * Returns the hosts for a caller.
     *
     * @param hosts all live hosts
     * @param region region of the caller
     * @param failureDomain failure domain of the caller
     * @param answer number of the answer; answers with different numbers include different hosts
     */
    public static List<HostEntry> of(List<HostEntry> hosts, String region, String failureDomain, long answer) {
        List<HostEntry> near = near(hosts, region, failureDomain);
        List<HostEntry> selected = alike(near) ? near : byCapacity(near, answer);
        return selected.size() > MAX_HOSTS ? selected.subList(0, MAX_HOSTS) : selected;
    }

    private static List<HostEntry> near(List<HostEntry> hosts, String region, String failureDomain) {
        List<HostEntry> reaching = filter(hosts, HostEntry::reachesUpstreams);
        List<HostEntry> usable = reaching.isEmpty() ? hosts : reaching;
        List<HostEntry> near = filter(usable, host -> host.failureDomain().equals(failureDomain));
        if (near.size() < MIN_HOSTS_FOR_FAILOVER) {
            near = filter(usable, host -> host.region().equals(region));
        }
        return near.size() < MIN_HOSTS_FOR_FAILOVER ? usable : near;
    }

    private static boolean alike(List<HostEntry> hosts) {
        return hosts.size() <= MIN_HOSTS_FOR_FAILOVER || maxCapacity(hosts) <= ALIKE_RATIO * minCapacity(hosts);
    }

    private static int maxCapacity(List<HostEntry> hosts) {
        return hosts.stream().mapToInt(HostEntry::capacity).max().orElse(0);
    }

    private static int minCapacity(List<HostEntry> hosts) {
        return hosts.stream().mapToInt(HostEntry::capacity).min().orElse(0);
    }

    private static List<HostEntry> byCapacity(List<HostEntry> hosts, long answer) {
        double max = maxCapacity(hosts);
        Comparator<HostEntry> firstIncluded =
                Comparator.comparingDouble(host -> uniform(host, answer) * max / Math.max(1, host.capacity()));
        Set<HostEntry> failover = hosts.stream()
                .sorted(firstIncluded)
                .limit(MIN_HOSTS_FOR_FAILOVER)
                .collect(Collectors.toSet());
        Stream<HostEntry> included =
                hosts.stream().filter(host -> failover.contains(host) || uniform(host, answer) * max < host.capacity());
        List<HostEntry> selected = included.toList();
        if (selected.size() <= MAX_HOSTS) {
            return selected;
        }
        // A second hash that does not depend on the capacity chooses among the included hosts.
        return selected.stream()
                .sorted(Comparator.comparingDouble(host -> uniform(host, ~answer)))
                .limit(MAX_HOSTS)
                .toList();
    }

    /** A number from 0 to 1 that the name and the answer determine. */
    private static double uniform(HostEntry host, long answer) {
        long mixed = WeightedRendezvous.mix(WeightedRendezvous.hash(host.name()) ^ WeightedRendezvous.mix(answer));
        return (mixed >>> 11) * MANTISSA_UNIT;
    }

    private static List<HostEntry> filter(List<HostEntry> hosts, Predicate<HostEntry> condition) {
        return hosts.stream().filter(condition).toList();
    }
}
