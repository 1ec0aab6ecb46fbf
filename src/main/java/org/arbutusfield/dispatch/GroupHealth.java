package org.arbutusfield.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotServer;
import org.arbutusfield.admission.SlotUse;
import org.arbutusfield.health.GroupLatency;
import org.arbutusfield.health.HealthSignal;
import org.arbutusfield.health.PanicThreshold;
import org.arbutusfield.health.UpstreamHealth;

/**
 * Health of the servers of one group, from the outcomes that all hosts report to the group's broker.
 *
 * <p>Latencies are compared as multiples of the usual latency of their request class, so that a server is not called
 * slow for the downloads that it happened to get. Not thread-safe; its owner calls it under one lock.
 */
final class GroupHealth {
    /** What a latency equal to its class's median is recorded as, in nanoseconds. */
    private static final long USUAL_NANOS = 1_000_000;

    private static final double MEDIAN_STEP = 0.02;

    private final Map<String, UpstreamHealth> servers = new TreeMap<>();
    private final Map<String, Double> classMedians = new HashMap<>();

    private GroupHealth() {}

    /** Health of no servers yet. */
    static GroupHealth create() {
        return new GroupHealth();
    }

    /** Forgets servers that are no longer in the group. */
    void retain(Set<String> upstreams) {
        servers.keySet().retainAll(upstreams);
    }

    /** Notes how one use of a server ended. */
    void note(SlotUse use, SlotRelease release, long nowNanos) {
        UpstreamHealth before = servers.getOrDefault(use.upstream(), UpstreamHealth.unknown(nowNanos));
        switch (release.outcome()) {
            case COMPLETED -> servers.put(use.upstream(), answered(before, use, release.serviceNanos(), nowNanos));
            case SHED -> servers.put(use.upstream(), before.afterSignal(HealthSignal.SHED, nowNanos));
            case FAILED -> servers.put(use.upstream(), before.afterSignal(HealthSignal.CONNECT_FAILURE, nowNanos));
            default -> {
                // a cancelled request says nothing about the server
            }
        }
    }

    /**
     * Most slots to use on a server by its health: all while nothing is known against it, one while it is probed.
     *
     * @param shares result of {@link #shares}
     * @param server the server
     */
    static int limit(Map<String, Double> shares, SlotServer server) {
        double share = shares.getOrDefault(server.upstream(), 1.0);
        return (int) Math.ceil(share * server.slots());
    }

    /** Share of its usual work for each server with a history. */
    Map<String, Double> shares(long nowNanos) {
        Map<String, Double> shares = PanicThreshold.shares(servers, nowNanos);
        servers.forEach((name, health) -> {
            if (health.ejections() == 0) {
                shares.put(name, 1.0);
            }
        });
        return shares;
    }

    private UpstreamHealth answered(UpstreamHealth before, SlotUse use, long serviceNanos, long nowNanos) {
        double usual = classMedians.merge(use.requestClass(), (double) serviceNanos, GroupHealth::stepTowards);
        long relative = (long) (USUAL_NANOS * serviceNanos / Math.max(1, usual));
        long median = GroupLatency.median(
                servers.values().stream().map(UpstreamHealth::meanNanos).toList());
        return before.afterResponse(Math.max(1, relative), median, nowNanos);
    }

    /** Moves an estimate of the median a fixed fraction towards a sample, so that far samples weigh no more. */
    private static double stepTowards(double median, double sample) {
        return sample > median ? median * (1 + MEDIAN_STEP) : median * (1 - MEDIAN_STEP);
    }
}
