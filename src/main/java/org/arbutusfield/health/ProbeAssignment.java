package org.arbutusfield.health;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.arbutusfield.lookup.WeightedRendezvous;

/**
 * Assigns probes to hosts: each upstream is probed by {@link #PROBERS_PER_UPSTREAM} hosts, regardless of the number of
 * hosts.
 *
 * <p>Hosts agree by rendezvous hashing. The nominal load is half a probe per second per upstream. If the hosts have two
 * entirely different host lists, the load doubles to one probe per second, which is the upper limit.
 */
public final class ProbeAssignment {
    /** Number of hosts that probe each upstream. */
    public static final int PROBERS_PER_UPSTREAM = 2;

    /** Time between two probes of one upstream by one host. */
    public static final Duration PROBE_PERIOD = Duration.ofSeconds(4);

    private ProbeAssignment() {}

    /** Returns the upstreams that this host probes. */
    public static List<String> assignedUpstreams(
            String self, Collection<String> liveHosts, Collection<String> upstreams) {
        return upstreams.stream()
                .filter(upstream -> isProber(self, liveHosts, upstream))
                .toList();
    }

    /** True if fewer than {@link #PROBERS_PER_UPSTREAM} other hosts rank above this one for the upstream. */
    private static boolean isProber(String self, Collection<String> liveHosts, String upstream) {
        long key = WeightedRendezvous.hash(upstream);
        double ownScore = WeightedRendezvous.score(WeightedRendezvous.hash(self), key, 1);
        int higherRanked = 0;
        for (String host : liveHosts) {
            double score = WeightedRendezvous.score(WeightedRendezvous.hash(host), key, 1);
            if (score > ownScore || (score == ownScore && host.compareTo(self) < 0)) {
                higherRanked++;
            }
            if (higherRanked >= PROBERS_PER_UPSTREAM) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns when this host next probes the upstream. Each host has its own offset within the period, so that the
     * probes of different hosts are spread out.
     *
     * @param self this host
     * @param upstream the upstream
     * @param nowNanos monotonic time
     * @return monotonic time after {@code nowNanos}
     */
    public static long nextProbeNanos(String self, String upstream, long nowNanos) {
        long period = PROBE_PERIOD.toNanos();
        long offset = Math.floorMod(WeightedRendezvous.hash(self + "/" + upstream), period);
        return Math.floorDiv(nowNanos - offset, period) * period + offset + period;
    }
}
