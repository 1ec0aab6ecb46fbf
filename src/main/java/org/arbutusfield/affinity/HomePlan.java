package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.lookup.WeightedRendezvous;

/**
 * The plan of one service: assigns each object a home.
 *
 * <p>Problem: an upstream that served an object recently needs a fraction of the time for its next request, so the
 * requests for an object should go to one upstream. Hashing alone gives some upstreams twice the mean load, and a
 * single object with many requests can overload its upstream.
 *
 * <p>Idea: rendezvous hashing with bounded loads. A new object is assigned to the first upstream in its rendezvous
 * order whose utilization is below the mean. Homes that are stored, or that a host reports, are adopted. Hosts report
 * how many requests each object had and how long they took, which gives the load of the object in busy slots.
 * Periodically some objects move, each from one of the most loaded upstreams to a less loaded one, if that reduces the
 * larger of the two utilizations by more than {@code MIN_IMPROVEMENT}, the cost of a move. The number of moves in a
 * period grows with the number of upstreams, so that a large service is balanced as fast as a small one. Sums of loads
 * are kept up to date: a report costs the same whatever the number of objects, and all reports of a route in one
 * message share one pass over the upstreams. A new object costs one more pass.
 *
 * <p>Invariants: an object keeps its home while that upstream is a candidate and not avoided, except for such moves. An
 * object that was moved stays where it is for at least {@code MOVE_COOLDOWN}. An object that no host uses any more is
 * removed after {@code UNUSED_EXPIRY}, and its load with it.
 *
 * <p>Example: upstreams a and b have 3 slots each. Objects 1 and 2 are new: 1 goes to a, 2 goes to b. Object 1 turns
 * out to keep 2 slots busy and object 3, also on a, 0.5 slots. Object 3 moves to b.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
public final class HomePlan {
    private static final Logger LOG = LogManager.getLogger(HomePlan.class);
    /** Load of an object before the first report on it, in busy slots. */
    private static final double INITIAL_LOAD = 0.3;
    /** Weight of the latest period in the moving average of an object's load. */
    private static final double LOAD_SMOOTHING = 0.4;

    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration MOVE_COOLDOWN = Duration.ofSeconds(4);
    private static final Duration UNUSED_EXPIRY = Duration.ofSeconds(30);
    /** Utilization below which no object is moved away from an upstream. */
    private static final double REBALANCE_THRESHOLD = 0.45;
    /** Smallest reduction of the utilization of the more loaded upstream that justifies a move. */
    private static final double MIN_IMPROVEMENT = 0.12;
    /** One object may move in each period for this many upstreams, and one more. A moved object is cold once. */
    private static final int UPSTREAMS_PER_MOVE = 24;

    private final Map<Long, String> storedHomes;
    private final Map<Long, PlannedObject> objects = new HashMap<>();
    /** Object keys by the version of the plan in which the object got its current home. */
    private final NavigableMap<Long, Long> keysByChangeVersion = new TreeMap<>();

    private final UpstreamLoads loads = UpstreamLoads.empty();
    private final OutlierDetector outliers = new OutlierDetector();
    private long version;
    private long periodEndNanos;
    private boolean started;

    private HomePlan(Map<Long, String> storedHomes) {
        this.storedHomes = storedHomes;
    }

    /** Creates an empty plan without stored homes. */
    public static HomePlan create() {
        return new HomePlan(Map.of());
    }

    /** Creates an empty plan that adopts the stored home of an object when the object is first used. */
    public static HomePlan withStoredHomes(Map<Long, String> storedHomes) {
        return new HomePlan(storedHomes);
    }

    /** Returns the homes of all objects. */
    public Map<Long, String> homes() {
        Map<Long, String> homes = new HashMap<>();
        objects.forEach((key, planned) -> homes.put(key, planned.upstream));
        return homes;
    }

    /**
     * Returns the homes that changed after a version.
     *
     * @param sinceVersion version that the host has; 0 to get all homes
     * @param maxChanges maximum number of homes to return; the rest follows in later responses
     */
    PlanChanges changesSince(long sinceVersion, int maxChanges) {
        Map<Long, String> homes = new HashMap<>();
        long includedVersion = sinceVersion;
        for (Map.Entry<Long, Long> change :
                keysByChangeVersion.tailMap(sinceVersion, false).entrySet()) {
            if (homes.size() == maxChanges) {
                return new PlanChanges(homes, includedVersion);
            }
            homes.put(change.getValue(), objects.get(change.getValue()).upstream);
            includedVersion = change.getKey();
        }
        return new PlanChanges(homes, version);
    }

    /**
     * Returns the home of an object, after assigning one if needed, and records a host's report on it.
     *
     * @param report what the host observed of the object
     * @param candidates upstreams that may serve it
     * @param nowNanos current monotonic time
     * @return the home, or empty when there are no candidates
     */
    public Optional<Candidate> assignHome(ObjectReport report, List<Candidate> candidates, long nowNanos) {
        outliers.record(report, nowNanos);
        return assignHome(report, candidateSet(candidates, nowNanos), nowNanos);
    }

    /** Returns the homes of several objects that the same upstreams may serve, by key; see {@link #assignHome}. */
    Map<Long, String> assignHomes(List<ObjectReport> reports, List<Candidate> candidates, long nowNanos) {
        reports.forEach(report -> outliers.record(report, nowNanos));
        CandidateSet set = candidateSet(candidates, nowNanos);
        Map<Long, String> homes = new HashMap<>();
        for (ObjectReport report : reports) {
            assignHome(report, set, nowNanos).ifPresent(home -> homes.put(report.key(), home.name()));
        }
        return homes;
    }

    private CandidateSet candidateSet(List<Candidate> candidates, long nowNanos) {
        return CandidateSet.of(candidates, outliers.usable(candidates, nowNanos));
    }

    private Optional<Candidate> assignHome(ObjectReport report, CandidateSet candidates, long nowNanos) {
        PlannedObject planned = objects.get(report.key());
        Optional<Candidate> home =
                planned == null ? adoptedHome(report, candidates) : candidates.usable(planned.upstream);
        if (home.isEmpty()) {
            home = firstBelowMeanUtilization(report.key(), candidates);
        }
        home.ifPresent(upstream -> recordAssignment(report, upstream, candidates, nowNanos));
        return home;
    }

    private Optional<Candidate> adoptedHome(ObjectReport report, CandidateSet candidates) {
        return candidates
                .usable(report.upstream())
                .or(() -> candidates.usable(storedHomes.getOrDefault(report.key(), "")));
    }

    private void recordAssignment(ObjectReport report, Candidate home, CandidateSet candidates, long nowNanos) {
        PlannedObject planned = objects.computeIfAbsent(report.key(), key -> new PlannedObject(nowNanos));
        if (!home.name().equals(planned.upstream)) {
            log("placed", report.key(), planned, home.name());
            reassign(report.key(), planned, home.name(), nowNanos);
        }
        planned.record(report, candidates, nowNanos);
    }

    private void reassign(long key, PlannedObject planned, String target, long nowNanos) {
        keysByChangeVersion.remove(planned.changeVersion);
        version++;
        keysByChangeVersion.put(version, key);
        planned.changeVersion = version;
        loads.remove(planned.upstream, planned.load);
        loads.add(target, planned.load);
        planned.upstream = target;
        planned.lastMovedNanos = nowNanos;
    }

    private void removeUnused(long nowNanos) {
        objects.values().removeIf(planned -> {
            boolean unused = nowNanos - planned.lastUsedNanos > UNUSED_EXPIRY.toNanos();
            if (unused) {
                loads.remove(planned.upstream, planned.load);
                keysByChangeVersion.remove(planned.changeVersion);
            }
            return unused;
        });
    }

    /**
     * Ends the period if its time is over: updates the loads from the reports, removes unused objects and rebalances.
     *
     * @param upstreams all upstreams of the service that may be assigned objects
     * @param nowNanos current monotonic time
     */
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
        removeUnused(nowNanos);
        for (PlannedObject planned : objects.values()) {
            loads.change(planned.upstream, planned.endPeriod(seconds));
        }
        outliers.endPeriod(upstreams, nowNanos);
        rebalance(outliers.usable(upstreams, nowNanos), nowNanos);
    }

    /** Returns the planned load of an upstream, in busy slots. */
    double load(String upstream) {
        return loads.busySlots(upstream);
    }

    /** Returns the number of objects. */
    int size() {
        return objects.size();
    }

    private void rebalance(List<Candidate> upstreams, long nowNanos) {
        assignToIdleUpstreams(upstreams, nowNanos);
        int moves = 1 + upstreams.size() / UPSTREAMS_PER_MOVE;
        while (moves > 0 && moveOneObject(upstreams, nowNanos)) {
            moves--;
        }
    }

    /** Moves an object from the most loaded upstream that has one whose move pays; returns false if there is none. */
    private boolean moveOneObject(List<Candidate> upstreams, long nowNanos) {
        List<Candidate> mostLoadedFirst = new ArrayList<>(upstreams);
        mostLoadedFirst.sort(
                Comparator.<Candidate>comparingDouble(loads::utilization).reversed());
        for (Candidate source : mostLoadedFirst) {
            if (loads.utilization(source) < REBALANCE_THRESHOLD) {
                return false;
            }
            if (moveBestObject(source, upstreams, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Moves an object to each upstream that has none: the lightest object of the most loaded upstream that has more
     * than one.
     */
    private void assignToIdleUpstreams(List<Candidate> upstreams, long nowNanos) {
        for (Candidate idle : upstreams) {
            if (loads.objects(idle.name()) == 0) {
                lightestMovableObject(idle, nowNanos)
                        .ifPresent(object -> reassign(object.getKey(), object.getValue(), idle.name(), nowNanos));
            }
        }
    }

    private Optional<Map.Entry<Long, PlannedObject>> lightestMovableObject(Candidate idle, long nowNanos) {
        return objects.entrySet().stream()
                .filter(object ->
                        mayMove(object.getValue(), idle, nowNanos) && loads.objects(object.getValue().upstream) > 1)
                .min(Comparator.comparingDouble(
                                (Map.Entry<Long, PlannedObject> object) -> -loads.busySlots(object.getValue().upstream))
                        .thenComparingDouble(object -> object.getValue().load));
    }

    private static boolean mayMove(PlannedObject planned, Candidate target, long nowNanos) {
        return planned.eligibleUpstreams.contains(target.name())
                && nowNanos - planned.lastMovedNanos >= MOVE_COOLDOWN.toNanos();
    }

    private boolean moveBestObject(Candidate source, List<Candidate> upstreams, long nowNanos) {
        PlannedObject best = null;
        long bestKey = 0;
        Candidate bestTarget = null;
        double bestPeak = loads.utilization(source) - MIN_IMPROVEMENT;
        for (Map.Entry<Long, PlannedObject> object : objects.entrySet()) {
            PlannedObject planned = object.getValue();
            if (!source.name().equals(planned.upstream)
                    || nowNanos - planned.lastMovedNanos < MOVE_COOLDOWN.toNanos()) {
                continue;
            }
            for (Candidate target : upstreams) {
                if (target.name().equals(source.name()) || !planned.eligibleUpstreams.contains(target.name())) {
                    continue;
                }
                double sourceAfter = loads.utilization(source) - planned.load / source.slots();
                double targetAfter = loads.utilization(target) + planned.load / target.slots();
                if (Math.max(sourceAfter, targetAfter) < bestPeak) {
                    bestPeak = Math.max(sourceAfter, targetAfter);
                    best = planned;
                    bestKey = object.getKey();
                    bestTarget = target;
                }
            }
        }
        if (best == null) {
            return false;
        }
        log("relieved", bestKey, best, bestTarget.name());
        reassign(bestKey, best, bestTarget.name(), nowNanos);
        return true;
    }

    /**
     * Returns the first upstream in the object's rendezvous order whose utilization is at most n/(n+1) of the mean of
     * the n candidates, where the mean includes the new object; if there is none, the least utilized upstream.
     */
    private Optional<Candidate> firstBelowMeanUtilization(long key, CandidateSet candidates) {
        double total = INITIAL_LOAD;
        for (Candidate candidate : candidates.usable()) {
            total += loads.busySlots(candidate.name());
        }
        int count = candidates.usable().size();
        double limit = count == 0 ? 0 : total / candidates.usableSlots() * count / (count + 1);
        Candidate first = null;
        double firstScore = Double.NEGATIVE_INFINITY;
        Candidate leastUtilized = null;
        for (Candidate candidate : candidates.usable()) {
            double utilization = loads.utilization(candidate);
            if (leastUtilized == null || utilization < loads.utilization(leastUtilized)) {
                leastUtilized = candidate;
            }
            double score = WeightedRendezvous.score(candidate.nameHash(), key, candidate.slots());
            if (utilization <= limit && score > firstScore) {
                first = candidate;
                firstScore = score;
            }
        }
        return Optional.ofNullable(first == null ? leastUtilized : first);
    }

    private static void log(String reason, long key, PlannedObject planned, String target) {
        LOG.info(
                "event=home_chosen reason={} object={} from={} to={} load={}",
                reason,
                Long.toHexString(key),
                planned.upstream.isEmpty() ? "-" : planned.upstream,
                target,
                planned.load);
    }

    /** One object of the plan. */
    private static final class PlannedObject {
        private String upstream = "";
        private double load = INITIAL_LOAD;
        private double busySeconds;
        private boolean reported;
        private long lastMovedNanos;
        private long lastUsedNanos;
        private long changeVersion;
        private Set<String> eligibleUpstreams = Set.of();

        private PlannedObject(long nowNanos) {
            lastMovedNanos = nowNanos;
        }

        private void record(ObjectReport report, CandidateSet candidates, long nowNanos) {
            lastUsedNanos = nowNanos;
            busySeconds += report.busyMicros() / 1e6;
            reported |= report.requests() > 0;
            eligibleUpstreams = candidates.names();
        }

        /** Updates the load from the reports of a period; returns by how much it changed. */
        private double endPeriod(double seconds) {
            double before = load;
            if (reported) {
                load += LOAD_SMOOTHING * (busySeconds / seconds - load);
            }
            busySeconds = 0;
            return load - before;
        }
    }
}
