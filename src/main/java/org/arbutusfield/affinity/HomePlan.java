package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
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
 * {@link Rebalancer} says which objects move: those of removed upstreams at once, some of saturated upstreams in each
 * period, and some of upstreams whose average load differs significantly from the mean. Objects are indexed by upstream
 * and sums of loads are kept up to date: a report costs the same whatever the number of objects, and all reports of a
 * route in one message share one pass over the upstreams. A new object costs one more pass.
 *
 * <p>Invariants: an object keeps its home while that upstream is a candidate and not avoided, except for such moves. A
 * plan that adopted homes moves nothing for balance until {@code LEARNING} has passed, because it does not know all
 * loads yet. An object that no host uses any more is removed after {@code UNUSED_EXPIRY}, and its load with it.
 *
 * <p>Example: upstreams a and b have 3 slots each. Objects 1 and 2 are new: 1 goes to a, 2 goes to b. Object 1 turns
 * out to keep 2 slots busy and object 3, also on a, 0.5 slots. Object 3 moves to b.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
public final class HomePlan {
    private static final Logger LOG = LogManager.getLogger(HomePlan.class);
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration UNUSED_EXPIRY = Duration.ofSeconds(30);
    /** Time in which each host of a service with up to 450 hosts reports its objects. */
    private static final Duration LEARNING = Duration.ofSeconds(4);

    private final Map<Long, String> storedHomes;
    private final Map<Long, PlannedObject> objects = new HashMap<>();
    /** Object keys by the version of the plan in which the object got its current home. */
    private final NavigableMap<Long, Long> keysByChangeVersion = new TreeMap<>();

    private final UpstreamLoads loads = UpstreamLoads.empty();
    private final OutlierDetector outliers = new OutlierDetector();
    private long version;
    private final Rebalancer rebalancer = new Rebalancer(loads, this::move);
    private long periodEndNanos;
    private long nowNanos;
    private long learningEndNanos;
    private boolean learning;
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
        objects.forEach((key, planned) -> homes.put(key, planned.upstream()));
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
            homes.put(change.getValue(), objects.get(change.getValue()).upstream());
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
                planned == null ? adoptedHome(report, candidates) : candidates.usable(planned.upstream());
        if (planned == null && home.isPresent()) {
            startLearning(nowNanos);
        }
        if (home.isEmpty()) {
            home = planned == null ? firstBelowMeanUtilization(report.key(), candidates) : next(planned, candidates);
        }
        home.ifPresent(upstream -> recordAssignment(report, upstream, candidates, nowNanos));
        return home;
    }

    private Optional<Candidate> next(PlannedObject planned, CandidateSet candidates) {
        return rebalancer
                .leastUtilizedWith(planned, candidates.usable())
                .or(() -> firstBelowMeanUtilization(planned.key(), candidates));
    }

    private void startLearning(long nowNanos) {
        if (!learning) {
            learning = true;
            learningEndNanos = nowNanos + LEARNING.toNanos();
        }
    }

    private Optional<Candidate> adoptedHome(ObjectReport report, CandidateSet candidates) {
        return candidates
                .usable(report.upstream())
                .or(() -> candidates.usable(storedHomes.getOrDefault(report.key(), "")));
    }

    private void recordAssignment(ObjectReport report, Candidate home, CandidateSet candidates, long nowNanos) {
        PlannedObject planned = objects.computeIfAbsent(report.key(), key -> new PlannedObject(key, nowNanos));
        if (!home.name().equals(planned.upstream())) {
            log("placed", planned, home.name());
            reassign(planned, home.name(), nowNanos);
        }
        planned.record(report, candidates, nowNanos);
    }

    private void move(PlannedObject planned, String target, String reason) {
        log(reason, planned, target);
        reassign(planned, target, nowNanos);
    }

    private void reassign(PlannedObject planned, String target, long nowNanos) {
        keysByChangeVersion.remove(planned.changeVersion());
        version++;
        keysByChangeVersion.put(version, planned.key());
        loads.remove(planned);
        planned.assign(target, version, nowNanos);
        loads.add(planned);
    }

    private void removeUnused(long nowNanos) {
        objects.values().removeIf(planned -> {
            boolean unused = planned.unused(UNUSED_EXPIRY, nowNanos);
            if (unused) {
                loads.remove(planned);
                keysByChangeVersion.remove(planned.changeVersion());
            }
            return unused;
        });
    }

    /**
     * Gives the objects of removed upstreams a new home. Ends the period if its time is over: updates the loads from
     * the reports, removes unused objects and rebalances.
     *
     * @param upstreams all upstreams of the service that may be assigned objects
     * @param nowNanos current monotonic time
     */
    public void advance(List<Candidate> upstreams, long nowNanos) {
        this.nowNanos = nowNanos;
        rebalancer.replaceRemoved(upstreams);
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
        objects.values().forEach(planned -> planned.endPeriod(seconds));
        loads.refresh();
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
        rebalancer.relieve(upstreams, nowNanos);
        if (!learning || learningEndNanos - nowNanos <= 0) {
            rebalancer.balance(upstreams, nowNanos);
        }
    }

    /**
     * Returns the first upstream in the object's rendezvous order whose utilization is at most n/(n+1) of the mean of
     * the n candidates, where the mean includes the new object; if there is none, the least utilized upstream.
     */
    private Optional<Candidate> firstBelowMeanUtilization(long key, CandidateSet candidates) {
        double total = LoadEstimate.INITIAL_LOAD;
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
            if (utilization > limit) {
                continue;
            }
            double score = WeightedRendezvous.score(candidate.nameHash(), key, candidate.slots());
            if (score > firstScore) {
                first = candidate;
                firstScore = score;
            }
        }
        return Optional.ofNullable(first == null ? leastUtilized : first);
    }

    private static void log(String reason, PlannedObject planned, String target) {
        LOG.info(
                "event=home_chosen reason={} object={} from={} to={} load={}",
                reason,
                Long.toHexString(planned.key()),
                planned.upstream().isEmpty() ? "-" : planned.upstream(),
                target,
                planned.load().slow());
    }
}
