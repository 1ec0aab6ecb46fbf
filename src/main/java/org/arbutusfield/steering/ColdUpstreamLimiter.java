package org.arbutusfield.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;

/**
 * Limits this host's requests to cold upstreams. The rate that a cold upstream tolerates is a limit on the sum over all
 * hosts.
 *
 * <p>Problem: a cold upstream crashes when all hosts together send it more than a few requests per second, and no host
 * knows how many requests the others send.
 *
 * <p>Idea: only a few hosts, its owners, may send requests to a cold upstream, each at an equal part of the rate. The
 * owners are the first hosts in the rendezvous order of the upstream's name, so all hosts with the same list of hosts
 * compute the same owners.
 *
 * <p>Invariant: an owner sends at most one request in each {@code owners / rate} seconds. While the lists of hosts
 * differ, there may be up to twice as many owners.
 *
 * <p>Example: 2.6 requests per second are tolerated. Two of sixteen hosts own the upstream, and each sends it at most
 * one request in 0.77 s; the other fourteen send it nothing until it is warm.
 *
 * <p>Not thread-safe; must be used from one thread.
 */
public final class ColdUpstreamLimiter {
    private static final int MAX_OWNERS = 3;
    private static final int MIN_HOSTS = 2;

    private final String self;
    private final Map<String, Long> nextAllowedNanos = new HashMap<>();

    private ColdUpstreamLimiter(String self) {
        this.self = self;
    }

    /** Creates the limiter of the named host. */
    public static ColdUpstreamLimiter of(String self) {
        return new ColdUpstreamLimiter(self);
    }

    /**
     * Returns true when this host may send the upstream a request now.
     *
     * @param upstream a cold upstream
     * @param perSecond requests per second that it tolerates from all hosts together
     * @param hosts all live hosts
     * @param nowNanos current monotonic time
     */
    public boolean allows(LiveUpstream upstream, double perSecond, List<HostEntry> hosts, long nowNanos) {
        if (perSecond <= 0 || hosts.size() < MIN_HOSTS || !isOwner(upstream, ownerCount(perSecond, hosts), hosts)) {
            return false;
        }
        Long nextAllowed = nextAllowedNanos.get(upstream.name());
        return nextAllowed == null || nextAllowed - nowNanos <= 0;
    }

    /** Records that this host sends the upstream a request. */
    public void recordSent(LiveUpstream upstream, double perSecond, List<HostEntry> hosts, long nowNanos) {
        double seconds = ownerCount(perSecond, hosts) / perSecond;
        long intervalNanos = Duration.ofMillis(Math.round(seconds * 1000)).toNanos();
        nextAllowedNanos.put(upstream.name(), nowNanos + intervalNanos);
    }

    /** Discards the state of all other upstreams. */
    public void retainAll(Set<String> upstreams) {
        nextAllowedNanos.keySet().retainAll(upstreams);
    }

    private static int ownerCount(double perSecond, List<HostEntry> hosts) {
        return (int) Math.max(1, Math.min(Math.min(MAX_OWNERS, hosts.size()), Math.floor(perSecond)));
    }

    private boolean isOwner(LiveUpstream upstream, int owners, List<HostEntry> hosts) {
        double ownScore = score(self, upstream);
        int higherScored = 0;
        boolean listed = false;
        for (HostEntry host : hosts) {
            listed |= host.name().equals(self);
            if (!host.name().equals(self) && score(host.name(), upstream) > ownScore) {
                higherScored++;
            }
        }
        return listed && higherScored < owners;
    }

    private static double score(String host, LiveUpstream upstream) {
        return WeightedRendezvous.score(WeightedRendezvous.hash(host), upstream.nameHash(), 1);
    }
}
