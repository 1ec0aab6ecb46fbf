package org.arbutusfield.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.arbutusfield.admission.SlotRelease;
import org.arbutusfield.admission.SlotUse;
import org.arbutusfield.admission.UpstreamSlots;
import org.arbutusfield.health.GroupLatency;
import org.arbutusfield.health.HealthSignal;
import org.arbutusfield.health.PanicThreshold;
import org.arbutusfield.health.UpstreamHealth;

/**
 * Health of the upstreams of one group, derived from the outcomes that all hosts report to the group's broker.
 *
 * <p>Latencies are recorded relative to the median latency of their request class, so that an upstream is not
 * considered slow only because it received long downloads. Not thread-safe; the owner calls it under one lock.
 */
final class GroupHealth {
    /** The value recorded for a latency that equals the median of its class, in nanoseconds. */
    private static final long REFERENCE_NANOS = 1_000_000;

    private static final double MEDIAN_STEP_FRACTION = 0.02;

    private final Map<String, UpstreamHealth> healthByUpstream = new TreeMap<>();
    private final Map<String, Double> classMedians = new HashMap<>();

    private GroupHealth() {}

    /** Returns an instance without upstreams. */
    static GroupHealth create() {
        return new GroupHealth();
    }

    /** Removes upstreams that are no longer in the group. */
    void retain(Set<String> upstreams) {
        healthByUpstream.keySet().retainAll(upstreams);
    }

    /** Records the outcome of one use of an upstream. */
    void record(SlotUse use, SlotRelease release, long nowNanos) {
        UpstreamHealth before = healthByUpstream.getOrDefault(use.upstream(), UpstreamHealth.unknown(nowNanos));
        switch (release.outcome()) {
            case COMPLETED ->
                healthByUpstream.put(use.upstream(), afterResponse(before, use, release.serviceNanos(), nowNanos));
            case SHED -> healthByUpstream.put(use.upstream(), before.afterSignal(HealthSignal.SHED, nowNanos));
            case FAILED ->
                healthByUpstream.put(use.upstream(), before.afterSignal(HealthSignal.CONNECT_FAILURE, nowNanos));
            default -> {
                // A cancelled request says nothing about the upstream.
            }
        }
    }

    /**
     * Returns the maximum number of slots to use on an upstream, given its health: all slots unless it was ejected, one
     * while it is probed.
     *
     * @param shares result of {@link #shares}
     * @param server the upstream and its number of slots
     */
    static int slotLimit(Map<String, Double> shares, UpstreamSlots server) {
        double share = shares.getOrDefault(server.upstream(), 1.0);
        return (int) Math.ceil(share * server.slots());
    }

    /** Returns the share of its normal load that each upstream with a history should get, 0 to 1. */
    Map<String, Double> shares(long nowNanos) {
        Map<String, Double> shares = PanicThreshold.shares(healthByUpstream, nowNanos);
        healthByUpstream.forEach((name, health) -> {
            if (health.ejections() == 0) {
                shares.put(name, 1.0);
            }
        });
        return shares;
    }

    private UpstreamHealth afterResponse(UpstreamHealth before, SlotUse use, long serviceNanos, long nowNanos) {
        double classMedian = classMedians.merge(use.requestClass(), (double) serviceNanos, GroupHealth::stepTowards);
        long relative = (long) (REFERENCE_NANOS * serviceNanos / Math.max(1, classMedian));
        long median = GroupLatency.median(healthByUpstream.values().stream()
                .map(UpstreamHealth::meanNanos)
                .toList());
        return before.afterResponse(Math.max(1, relative), median, nowNanos);
    }

    /**
     * Moves an estimate of the median towards a sample by a fixed fraction, so that outliers weigh no more than other
     * samples.
     */
    private static double stepTowards(double median, double sample) {
        return sample > median ? median * (1 + MEDIAN_STEP_FRACTION) : median * (1 - MEDIAN_STEP_FRACTION);
    }
}
