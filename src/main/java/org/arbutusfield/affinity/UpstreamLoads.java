package org.arbutusfield.affinity;

import java.util.HashMap;
import java.util.Map;

/** Planned load and number of objects of each upstream, kept up to date with each change of an object. */
final class UpstreamLoads {
    private final Map<String, Load> loads = new HashMap<>();

    private UpstreamLoads() {}

    static UpstreamLoads empty() {
        return new UpstreamLoads();
    }

    /** Adds an object to an upstream. */
    void add(String upstream, double busySlots) {
        Load load = loads.computeIfAbsent(upstream, name -> new Load());
        load.busySlots += busySlots;
        load.objects++;
    }

    /** Removes an object from an upstream. */
    void remove(String upstream, double busySlots) {
        Load load = loads.get(upstream);
        if (load == null) {
            return;
        }
        load.objects--;
        load.busySlots -= busySlots;
        if (load.objects == 0) {
            // Also discards the rounding errors of the sums.
            loads.remove(upstream);
        }
    }

    /** Changes the load of one object of an upstream. */
    void change(String upstream, double difference) {
        Load load = loads.get(upstream);
        if (load != null) {
            load.busySlots += difference;
        }
    }

    /** Planned load of an upstream, in busy slots. */
    double busySlots(String upstream) {
        Load load = loads.get(upstream);
        return load == null ? 0 : load.busySlots;
    }

    /** Planned load per slot. */
    double utilization(Candidate upstream) {
        return busySlots(upstream.name()) / upstream.slots();
    }

    /** Number of objects of an upstream. */
    int objects(String upstream) {
        Load load = loads.get(upstream);
        return load == null ? 0 : load.objects;
    }

    /** Sums over the objects of one upstream. */
    private static final class Load {
        private double busySlots;
        private int objects;
    }
}
