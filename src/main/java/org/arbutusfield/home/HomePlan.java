package org.arbutusfield.home;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.lookup.Rendezvous;

/**
 * The homes of one service's objects.
 *
 * <p>Problem: an upstream that served an object lately needs a fraction of the time for it, so an object should stay at
 * one upstream. Hashing alone gives some upstreams twice the mean load, and a heavy object can be too much for one.
 *
 * <p>Idea: rendezvous hashing with bounded loads. A new object goes to the first upstream in its order whose planned
 * load is not above the mean. Homes that were stored before, or that a host knows, are adopted. Hosts report how often
 * and how long they used each object, which gives its load in busy slots. From time to time one object moves from the
 * fullest upstream to the emptiest, if that lowers the larger of the two loads by more than the move costs.
 *
 * <p>Invariants: an object keeps its home while that upstream is a candidate that does well, but for such moves. An
 * object that was moved is left alone for a while. What isn't reported any more loses its load, and in the end its
 * place.
 *
 * <p>Example: upstreams a and b with 3 slots. Objects 1 and 2 are new: 1 goes to a, 2 to b. Object 1 turns out to keep
 * 2 slots busy and object 3, also at a, 0.5. Object 3 moves to b.
 *
 * <p>Time is given by the caller. Not thread-safe; its owner calls it on one thread.
 */
public final class HomePlan {
    private static final Logger LOG = LogManager.getLogger(HomePlan.class);
    /** Load of an object that nobody has reported on, in busy slots. */
    private static final double UNKNOWN_LOAD = 0.3;
    /** Weight of the newest period in an object's load. */
    private static final double NEWEST = 0.4;

    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration SETTLE = Duration.ofSeconds(4);
    private static final Duration FORGET = Duration.ofSeconds(30);
    /** Share of its slots up to which an upstream is never relieved. */
    private static final double COMFORTABLE = 0.45;
    /** Least improvement of the fuller upstream for which an object moves, in shares of its slots. */
    private static final double WORTH_MOVING = 0.12;

    private final Map<Long, String> stored;
    private final Map<Long, PlannedObject> objects = new HashMap<>();
    /** Keys of objects by the version of the plan in which they got their present home. */
    private final NavigableMap<Long, Long> changes = new TreeMap<>();

    private final UpstreamConduct conduct = new UpstreamConduct();
    private long version;
    private long periodEndNanos;
    private boolean started;

    private HomePlan(Map<Long, String> stored) {
        this.stored = stored;
    }

    /** No objects yet, and none stored. */
    public static HomePlan create() {
        return new HomePlan(Map.of());
    }

    /** No objects yet; those that were stored are adopted when they are asked for. */
    public static HomePlan after(Map<Long, String> stored) {
        return new HomePlan(stored);
    }

    /** The homes of all objects. */
    public Map<Long, String> homes() {
        Map<Long, String> homes = new HashMap<>();
        objects.forEach((key, planned) -> homes.put(key, planned.upstream));
        return homes;
    }

    /**
     * The homes that changed after a version.
     *
     * @param since version that the asker knows; 0 for all homes
     * @param most changes to tell; later ones are left for the next question
     */
    PlanChanges changesSince(long since, int most) {
        Map<Long, String> homes = new HashMap<>();
        long told = since;
        for (Map.Entry<Long, Long> change : changes.tailMap(since, false).entrySet()) {
            if (homes.size() == most) {
                return new PlanChanges(homes, told);
            }
            homes.put(change.getValue(), objects.get(change.getValue()).upstream);
            told = change.getKey();
        }
        return new PlanChanges(homes, version);
    }

    /**
     * The home of an object.
     *
     * @param use what a host saw of it
     * @param candidates upstreams that may serve it
     * @param nowNanos the time
     * @return the upstream, or none when there are no candidates
     */
    public Optional<Candidate> home(ObjectUse use, List<Candidate> candidates, long nowNanos) {
        conduct.report(use, nowNanos);
        List<Candidate> usable = conduct.usable(candidates, nowNanos);
        PlannedObject planned = objects.get(use.key());
        Optional<Candidate> home = Optional.<PlannedObject>ofNullable(planned)
                .flatMap(known -> find(usable, known.upstream))
                .or(() -> planned == null ? adopted(use, usable) : Optional.empty())
                .or(() -> firstWithRoom(use.key(), usable));
        home.ifPresent(upstream -> settle(use, upstream, candidates, nowNanos));
        return home;
    }

    private Optional<Candidate> adopted(ObjectUse use, List<Candidate> usable) {
        return find(usable, use.upstream()).or(() -> find(usable, stored.getOrDefault(use.key(), "")));
    }

    private void settle(ObjectUse use, Candidate home, List<Candidate> candidates, long nowNanos) {
        PlannedObject planned = objects.computeIfAbsent(use.key(), key -> new PlannedObject(nowNanos));
        if (!home.name().equals(planned.upstream)) {
            log("placed", use.key(), planned, home.name());
            move(use.key(), planned, home.name(), nowNanos);
        }
        planned.used(use, candidates, nowNanos);
    }

    private void move(long key, PlannedObject planned, String to, long nowNanos) {
        changes.remove(planned.changeVersion);
        version++;
        changes.put(version, key);
        planned.changeVersion = version;
        planned.upstream = to;
        planned.movedNanos = nowNanos;
    }

    private void forgetUnused(long nowNanos) {
        objects.values().removeIf(planned -> {
            boolean unused = nowNanos - planned.usedNanos > FORGET.toNanos();
            if (unused) {
                changes.remove(planned.changeVersion);
            }
            return unused;
        });
    }

    /** Ends a period when it is time: takes over the reported loads, forgets unused objects and moves one if useful. */
    public void advance(List<Candidate> upstreams, long nowNanos) {
        if (!started) {
            started = true;
            periodEndNanos = nowNanos + PERIOD.toNanos();
            return;
        }
        if (periodEndNanos - nowNanos > 0) {
            return;
        }
        double seconds = (nowNanos - periodEndNanos + PERIOD.toNanos()) / 1e9;
        periodEndNanos = nowNanos + PERIOD.toNanos();
        forgetUnused(nowNanos);
        objects.values().forEach(planned -> planned.endPeriod(seconds));
        conduct.endPeriod(upstreams, nowNanos);
        relieve(conduct.usable(upstreams, nowNanos), nowNanos);
    }

    /** Planned load of an upstream, in busy slots. */
    double load(String upstream) {
        return objects.values().stream()
                .filter(planned -> upstream.equals(planned.upstream))
                .mapToDouble(planned -> planned.load)
                .sum();
    }

    /** Number of objects. */
    int size() {
        return objects.size();
    }

    private void relieve(List<Candidate> upstreams, long nowNanos) {
        employIdle(upstreams, nowNanos);
        Map<String, Double> loads = loads();
        List<Candidate> fullestFirst = new ArrayList<>(upstreams);
        fullestFirst.sort(
                Comparator.comparingDouble((Candidate u) -> share(u, loads)).reversed());
        for (Candidate full : fullestFirst) {
            if (share(full, loads) < COMFORTABLE) {
                return;
            }
            if (moveOne(full, upstreams, loads, nowNanos)) {
                return;
            }
        }
    }

    /** Gives each upstream without objects the lightest one of the fullest upstream that has several. */
    private void employIdle(List<Candidate> upstreams, long nowNanos) {
        for (Candidate idle : upstreams) {
            if (!hasObjects(idle.name())) {
                lightestSpare(idle, nowNanos)
                        .ifPresent(object -> move(object.getKey(), object.getValue(), idle.name(), nowNanos));
            }
        }
    }

    private Optional<Map.Entry<Long, PlannedObject>> lightestSpare(Candidate idle, long nowNanos) {
        Map<String, Double> loads = loads();
        Map<String, Integer> counts = new HashMap<>();
        objects.values().forEach(planned -> counts.merge(planned.upstream, 1, Integer::sum));
        return objects.entrySet().stream()
                .filter(object ->
                        mayMove(object.getValue(), idle, nowNanos) && counts.get(object.getValue().upstream) > 1)
                .min(Comparator.comparingDouble((Map.Entry<Long, PlannedObject> object) ->
                                -loads.getOrDefault(object.getValue().upstream, 0.0))
                        .thenComparingDouble(object -> object.getValue().load));
    }

    private static boolean mayMove(PlannedObject planned, Candidate to, long nowNanos) {
        return planned.mayServe.contains(to.name()) && nowNanos - planned.movedNanos >= SETTLE.toNanos();
    }

    private boolean hasObjects(String upstream) {
        return objects.values().stream().anyMatch(planned -> planned.upstream.equals(upstream));
    }

    private boolean moveOne(Candidate from, List<Candidate> upstreams, Map<String, Double> loads, long nowNanos) {
        PlannedObject best = null;
        long bestKey = 0;
        Candidate bestTo = null;
        double bestPeak = share(from, loads) - WORTH_MOVING;
        for (Map.Entry<Long, PlannedObject> object : objects.entrySet()) {
            PlannedObject planned = object.getValue();
            if (!from.name().equals(planned.upstream) || nowNanos - planned.movedNanos < SETTLE.toNanos()) {
                continue;
            }
            for (Candidate to : upstreams) {
                if (to.name().equals(from.name()) || !planned.mayServe.contains(to.name())) {
                    continue;
                }
                double left = share(from, loads) - planned.load / from.slots();
                double joined = share(to, loads) + planned.load / to.slots();
                if (Math.max(left, joined) < bestPeak) {
                    bestPeak = Math.max(left, joined);
                    best = planned;
                    bestKey = object.getKey();
                    bestTo = to;
                }
            }
        }
        if (best == null) {
            return false;
        }
        log("relieved", bestKey, best, bestTo.name());
        move(bestKey, best, bestTo.name(), nowNanos);
        return true;
    }

    /** The first upstream in the object's order whose load would not exceed the mean with the object. */
    private Optional<Candidate> firstWithRoom(long key, List<Candidate> candidates) {
        Map<String, Double> loads = loads();
        double total = UNKNOWN_LOAD;
        double slots = 0;
        for (Candidate candidate : candidates) {
            total += loads.getOrDefault(candidate.name(), 0.0);
            slots += candidate.slots();
        }
        double mean = slots == 0 ? 0 : total / slots;
        return candidates.stream()
                .filter(candidate -> share(candidate, loads) <= mean * candidates.size() / (candidates.size() + 1))
                .max(Comparator.comparingDouble(u -> Rendezvous.score(u.nameHash(), key, u.slots())))
                .or(() -> candidates.stream().min(Comparator.comparingDouble(u -> share(u, loads))));
    }

    private static void log(String reason, long key, PlannedObject planned, String to) {
        LOG.info(
                "event=home_chosen reason={} object={} from={} to={} load={}",
                reason,
                Long.toHexString(key),
                planned.upstream.isEmpty() ? "-" : planned.upstream,
                to,
                planned.load);
    }

    private static double share(Candidate upstream, Map<String, Double> loads) {
        return loads.getOrDefault(upstream.name(), 0.0) / upstream.slots();
    }

    private Map<String, Double> loads() {
        Map<String, Double> loads = new HashMap<>();
        objects.values().forEach(planned -> loads.merge(planned.upstream, planned.load, Double::sum));
        return loads;
    }

    private static Optional<Candidate> find(List<Candidate> candidates, String name) {
        return candidates.stream().filter(u -> u.name().equals(name)).findFirst();
    }

    /** One object in the plan. */
    private static final class PlannedObject {
        private String upstream = "";
        private double load = UNKNOWN_LOAD;
        private double busySeconds;
        private boolean reported;
        private long movedNanos;
        private long usedNanos;
        private long changeVersion;
        private Set<String> mayServe = Set.of();

        private PlannedObject(long nowNanos) {
            movedNanos = nowNanos;
        }

        private void used(ObjectUse use, List<Candidate> candidates, long nowNanos) {
            usedNanos = nowNanos;
            busySeconds += use.busyMicros() / 1e6;
            reported |= use.requests() > 0;
            if (!sameNames(candidates)) {
                mayServe = new HashSet<>();
                candidates.forEach(candidate -> mayServe.add(candidate.name()));
            }
        }

        private boolean sameNames(List<Candidate> candidates) {
            return mayServe.size() == candidates.size()
                    && candidates.stream().allMatch(candidate -> mayServe.contains(candidate.name()));
        }

        private void endPeriod(double seconds) {
            if (reported) {
                load += NEWEST * (busySeconds / seconds - load);
            }
            busySeconds = 0;
        }
    }
}
