package org.arbutusfield.health;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.arbutusfield.lookup.Rendezvous;

/**
 * Shares probes out over hosts: each server is probed by {@link #PROBERS_PER_UPSTREAM} hosts, whatever the size of the
 * fleet.
 *
 * <p>Hosts agree by rendezvous hashing. Nominal load is half a probe per second and server; two host lists that differ
 * entirely give twice as much, which is the bound of one per second.
 */
public final class ProbeAssignment {
    /** Hosts that probe each server. */
    public static final int PROBERS_PER_UPSTREAM = 2;

    /** Time between two probes of one server by one host. */
    public static final Duration PROBE_PERIOD = Duration.ofSeconds(4);

    private ProbeAssignment() {}

    /** The servers that this host has to probe. */
    public static List<String> assignedUpstreams(
            String self, Collection<String> liveHosts, Collection<String> upstreams) {
        return upstreams.stream()
                .filter(upstream -> isProber(self, liveHosts, upstream))
                .toList();
    }

    /** True when fewer than {@link #PROBERS_PER_UPSTREAM} other hosts come before this one for the server. */
    private static boolean isProber(String self, Collection<String> liveHosts, String upstream) {
        long key = Rendezvous.hash(upstream);
        double own = Rendezvous.score(Rendezvous.hash(self), key, 1);
        int before = 0;
        for (String host : liveHosts) {
            double score = Rendezvous.score(Rendezvous.hash(host), key, 1);
            if (score > own || (score == own && host.compareTo(self) < 0)) {
                before++;
            }
            if (before >= PROBERS_PER_UPSTREAM) {
                return false;
            }
        }
        return true;
    }

    /**
     * When this host should next probe a server: its own slot of the period, so that probers do not coincide.
     *
     * @param self this host
     * @param upstream the server
     * @param nowNanos monotonic time
     * @return monotonic time after {@code nowNanos}
     */
    public static long nextProbeNanos(String self, String upstream, long nowNanos) {
        long period = PROBE_PERIOD.toNanos();
        long phase = Math.floorMod(Rendezvous.hash(self + "/" + upstream), period);
        return Math.floorDiv(nowNanos - phase, period) * period + phase + period;
    }
}
