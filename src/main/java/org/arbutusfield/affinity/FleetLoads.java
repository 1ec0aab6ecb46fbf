package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.wire.gen.UpstreamLoad;

/**
 * The loads of upstreams that hosts have told this planner, the newest of each upstream.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
public final class FleetLoads {
    /**
     * A full queue of three places for each slot is gone after this time at usual work; hosts ignore older loads too.
     */
    private static final Duration MAX_AGE = Duration.ofSeconds(2);
    /** Keeps a response below the frame size limit; the longest queues are told first. */
    private static final int MAX_TOLD = 500;

    /**
     * Slowness from which an upstream is told of even with free slots: work takes as long as elsewhere without a home.
     */
    private static final double SLOW = 3;

    private final Map<String, Map<String, Told>> toldByService = new HashMap<>();

    private FleetLoads() {}

    /** Creates an instance that knows no loads. */
    public static FleetLoads create() {
        return new FleetLoads();
    }

    /** Takes a host's report; a load that is older than the known one of its upstream is ignored. */
    public void merge(String service, List<UpstreamLoad> loads, long nowNanos) {
        Map<String, Told> told = toldByService.computeIfAbsent(service, name -> new HashMap<>());
        for (UpstreamLoad load : loads) {
            Told next = new Told(load, nowNanos - Math.max(0, load.getAgeMicros()) * 1000);
            told.merge(load.getUpstream(), next, Told::newer);
        }
    }

    /** Returns the upstreams that had no free slot, or were slow, when a host last heard from them. */
    public List<UpstreamLoad> withoutRoom(String service, long nowNanos) {
        Map<String, Told> told = toldByService.getOrDefault(service, Map.of());
        told.values().removeIf(known -> nowNanos - known.statedNanos > MAX_AGE.toNanos());
        List<UpstreamLoad> busy = new ArrayList<>();
        for (Told known : told.values()) {
            int requests = known.load.getRunning() + known.load.getWaiting();
            boolean slow = known.load.isSetSlowness() && known.load.getSlowness() >= SLOW;
            if (requests >= known.load.getSlots() || slow) {
                busy.add(new UpstreamLoad(known.load).setAgeMicros((nowNanos - known.statedNanos) / 1000));
            }
        }
        busy.sort(Comparator.comparingInt(UpstreamLoad::getWaiting).reversed());
        return busy.size() > MAX_TOLD ? busy.subList(0, MAX_TOLD) : busy;
    }

    private record Told(UpstreamLoad load, long statedNanos) {
        private static Told newer(Told known, Told next) {
            boolean olderStart = next.load.getStartMillis() < known.load.getStartMillis();
            boolean sameStart = next.load.getStartMillis() == known.load.getStartMillis();
            return olderStart || (sameStart && next.statedNanos - known.statedNanos < 0) ? known : next;
        }
    }
}
