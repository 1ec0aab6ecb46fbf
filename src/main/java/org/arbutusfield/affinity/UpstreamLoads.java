package org.arbutusfield.affinity;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The objects of each upstream and the sums of their loads, kept up to date with each change of an object. */
final class UpstreamLoads {
    private final Map<String, Load> loads = new HashMap<>();

    private UpstreamLoads() {}

    static UpstreamLoads empty() {
        return new UpstreamLoads();
    }

    /** Adds an object to its home. */
    void add(PlannedObject object) {
        Load load = loads.computeIfAbsent(object.upstream(), name -> new Load());
        load.objects.add(object);
        load.include(object, 1);
    }

    /** Removes an object from its home. */
    void remove(PlannedObject object) {
        Load load = loads.get(object.upstream());
        if (load == null || !load.objects.remove(object)) {
            return;
        }
        load.include(object, -1);
        if (load.objects.isEmpty()) {
            // Also discards the rounding errors of the sums.
            loads.remove(object.upstream());
        }
    }

    /** Computes all sums again, after the loads of all objects changed. */
    void refresh() {
        loads.values().forEach(Load::refresh);
    }

    /** Names of the upstreams that have objects. */
    Set<String> upstreams() {
        return loads.keySet();
    }

    /** The objects of an upstream, as of now. */
    List<PlannedObject> objectsOf(String upstream) {
        Load load = loads.get(upstream);
        return load == null ? List.of() : List.copyOf(load.objects);
    }

    /** Average load of an upstream, in busy slots. */
    double busySlots(String upstream) {
        Load load = loads.get(upstream);
        return load == null ? 0 : load.slow;
    }

    /** Average load per slot. */
    double utilization(Candidate upstream) {
        return busySlots(upstream.name()) / upstream.slots();
    }

    /** Load per slot in the latest periods. */
    double currentUtilization(Candidate upstream) {
        Load load = loads.get(upstream.name());
        return load == null ? 0 : load.fast / upstream.slots();
    }

    /** Standard error of {@link #utilization}. */
    double error(Candidate upstream) {
        Load load = loads.get(upstream.name());
        return load == null ? 0 : Math.sqrt(Math.max(0, load.squaredError)) / upstream.slots();
    }

    /** First requests per second that an upstream has to expect for objects that moved there. */
    double coldRate(String upstream) {
        Load load = loads.get(upstream);
        return load == null || load.coldObjects == 0 ? 0 : load.coldRate;
    }

    /** Average load of the objects of an upstream that have had no request there yet, in busy slots. */
    double coldLoad(String upstream) {
        Load load = loads.get(upstream);
        return load == null || load.coldObjects == 0 ? 0 : load.coldLoad;
    }

    /** Average load of the candidates per slot. */
    double meanUtilization(Collection<Candidate> candidates) {
        double busy = 0;
        double slots = 0;
        for (Candidate candidate : candidates) {
            busy += busySlots(candidate.name());
            slots += candidate.slots();
        }
        return slots == 0 ? 0 : busy / slots;
    }

    /** Average load of an object of the service, in busy slots. */
    double meanObjectLoad() {
        double busy = 0;
        int objects = 0;
        for (Load load : loads.values()) {
            busy += load.slow;
            objects += load.objects.size();
        }
        return objects == 0 ? 0 : busy / objects;
    }

    /** Number of objects of an upstream. */
    int objects(String upstream) {
        Load load = loads.get(upstream);
        return load == null ? 0 : load.objects.size();
    }

    /** Sums over the objects of one upstream. */
    private static final class Load {
        private final Set<PlannedObject> objects = new LinkedHashSet<>();
        private double slow;
        private double fast;
        private double squaredError;
        private int coldObjects;
        private double coldRate;
        private double coldLoad;

        private void include(PlannedObject object, int sign) {
            slow += sign * object.load().slow();
            fast += sign * object.load().fast();
            squaredError += sign * object.load().squaredError();
            if (object.cold()) {
                coldObjects += sign;
                coldRate += sign * object.firstRequestRate();
                coldLoad += sign * object.load().slow();
            }
        }

        private void refresh() {
            slow = 0;
            fast = 0;
            squaredError = 0;
            coldObjects = 0;
            coldRate = 0;
            coldLoad = 0;
            objects.forEach(object -> include(object, 1));
        }
    }
}
