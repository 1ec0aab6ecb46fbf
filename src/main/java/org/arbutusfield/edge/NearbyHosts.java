package org.arbutusfield.edge;

import java.util.List;
import java.util.function.Predicate;
import org.arbutusfield.state.HostEntry;

/**
 * Selects the hosts for a look-up: those in the caller's failure domain, else in its region, else all. A failure domain
 * or region with a single live host is not enough, because callers need another one when it fails. Hosts that are cut
 * off from all upstreams are left out while there are others.
 */
public final class NearbyHosts {
    private static final int MIN_HOSTS_FOR_FAILOVER = 2;
    private static final int MAX_HOSTS = 64;

    private NearbyHosts() {}

    /**
     * Returns the hosts for a caller.
     *
     * @param hosts all live hosts
     * @param region region of the caller
     * @param failureDomain failure domain of the caller
     */
    public static List<HostEntry> of(List<HostEntry> hosts, String region, String failureDomain) {
        List<HostEntry> reaching = filter(hosts, HostEntry::reachesUpstreams);
        List<HostEntry> usable = reaching.isEmpty() ? hosts : reaching;
        List<HostEntry> near = filter(usable, host -> host.failureDomain().equals(failureDomain));
        if (near.size() < MIN_HOSTS_FOR_FAILOVER) {
            near = filter(usable, host -> host.region().equals(region));
        }
        if (near.size() < MIN_HOSTS_FOR_FAILOVER) {
            near = usable;
        }
        return near.size() > MAX_HOSTS ? near.subList(0, MAX_HOSTS) : near;
    }

    private static List<HostEntry> filter(List<HostEntry> hosts, Predicate<HostEntry> condition) {
        return hosts.stream().filter(condition).toList();
    }
}
