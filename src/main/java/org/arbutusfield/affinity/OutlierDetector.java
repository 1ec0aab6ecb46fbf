package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects slow and failing upstreams of one service from the reports of all hosts, and decides which upstreams to avoid
 * for a while.
 *
 * <p>Problem: a single host sends only a few requests per second to each upstream, too few to tell a slow or failing
 * upstream from chance. The reports of all hosts together are enough.
 *
 * <p>Idea: each upstream is compared with the others. It is slow when its requests take several times as long as on the
 * median upstream for the same routes. It is failing when a large fraction of its requests fails. It is then avoided
 * for a time that doubles with each recurrence, and used again afterwards.
 *
 * <p>Invariant: when avoiding all detected upstreams would leave too few, none is avoided. When failures are
 * widespread, no upstream counts as failing.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
final class OutlierDetector {
    private static final Logger LOG = LogManager.getLogger(OutlierDetector.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double SLOW_RATIO = 4;
    private static final double SLOW_MIN_REQUESTS = 4;
    private static final double FAILING_MIN_FRACTION = 0.5;
    private static final double FAILING_MIN_FAILURES = 3;
    private static final double WIDESPREAD_FAILURE_FRACTION = 0.3;
    private static final double MAX_AVOIDED_FRACTION = 0.34;
    /** Factor by which the counts of earlier reports are multiplied after each period. */
    private static final double PERIOD_DECAY = 0.5;

    private static final Duration INITIAL_AVOIDANCE = Duration.ofSeconds(2);
    private static final int MAX_DOUBLINGS = 2;
    private static final Duration AVOIDANCE_RESET = Duration.ofSeconds(15);

    private final Map<String, UpstreamStats> statsByUpstream = new HashMap<>();

    /** Records a host's report on an object at its home. */
    void record(ObjectReport report, long nowNanos) {
        if (report.upstream().isEmpty() || report.requests() + report.failures() == 0) {
            return;
        }
        UpstreamStats stats = statsByUpstream.computeIfAbsent(report.upstream(), name -> new UpstreamStats());
        RouteStats routeStats = stats.routes.computeIfAbsent(report.route(), route -> new RouteStats());
        routeStats.requests += report.requests();
        routeStats.seconds += report.busyMicros() / 1e6;
        stats.answered += report.requests();
        stats.failed += report.failures();
        if (report.failures() > 0 && !avoided(report.upstream(), nowNanos) && failing(stats)) {
            avoid(report.upstream(), stats, nowNanos);
        }
    }

    /** Ends a period: compares the upstreams with each other, then decays the counts. */
    void endPeriod(List<Candidate> upstreams, long nowNanos) {
        statsByUpstream
                .keySet()
                .retainAll(upstreams.stream().map(Candidate::name).toList());
        Map<String, Double> medians = medianSeconds();
        statsByUpstream.forEach((name, stats) -> {
            if (!avoided(name, nowNanos) && slow(stats, medians)) {
                avoid(name, stats, nowNanos);
            }
            stats.decay();
        });
    }

    /** Returns true while the upstream should get no objects. */
    boolean avoided(String upstream, long nowNanos) {
        UpstreamStats stats = statsByUpstream.get(upstream);
        return stats != null && stats.avoidedUntilNanos - nowNanos > 0;
    }

    /** Returns the candidates that are not avoided, or all of them when too few would be left. */
    List<Candidate> usable(List<Candidate> candidates, long nowNanos) {
        List<Candidate> usable = candidates.stream()
                .filter(candidate -> !avoided(candidate.name(), nowNanos))
                .toList();
        return usable.size() < candidates.size() * (1 - MAX_AVOIDED_FRACTION) ? candidates : usable;
    }

    private boolean failing(UpstreamStats stats) {
        return stats.failed >= FAILING_MIN_FAILURES
                && stats.failed >= FAILING_MIN_FRACTION * (stats.answered + stats.failed)
                && !failuresWidespread();
    }

    /** Returns true when failures are so common that no single upstream is an outlier. */
    private boolean failuresWidespread() {
        double failed = 0;
        double all = 0;
        for (UpstreamStats stats : statsByUpstream.values()) {
            failed += stats.failed;
            all += stats.answered + stats.failed;
        }
        return failed > WIDESPREAD_FAILURE_FRACTION * all;
    }

    private static boolean slow(UpstreamStats stats, Map<String, Double> medians) {
        double expected = 0;
        double seconds = 0;
        for (Map.Entry<String, RouteStats> route : stats.routes.entrySet()) {
            expected += route.getValue().requests * medians.getOrDefault(route.getKey(), 0.0);
            seconds += route.getValue().seconds;
        }
        return stats.answered >= SLOW_MIN_REQUESTS && seconds > SLOW_RATIO * expected;
    }

    /** Returns the median over all upstreams of the mean request time, by route. */
    private Map<String, Double> medianSeconds() {
        Map<String, List<Double>> means = new HashMap<>();
        for (UpstreamStats stats : statsByUpstream.values()) {
            stats.routes.forEach((route, routeStats) -> {
                if (routeStats.requests > 0) {
                    means.computeIfAbsent(route, r -> new ArrayList<>()).add(routeStats.seconds / routeStats.requests);
                }
            });
        }
        Map<String, Double> medians = new HashMap<>();
        means.forEach((route, values) -> {
            Collections.sort(values);
            medians.put(route, values.get(values.size() / 2));
        });
        return medians;
    }

    private static void avoid(String name, UpstreamStats stats, long nowNanos) {
        boolean recent = nowNanos - stats.avoidedUntilNanos < AVOIDANCE_RESET.toNanos();
        stats.consecutiveAvoidances = stats.consecutiveAvoidances > 0 && recent ? stats.consecutiveAvoidances + 1 : 1;
        long durationNanos = INITIAL_AVOIDANCE.toNanos() << Math.min(stats.consecutiveAvoidances - 1, MAX_DOUBLINGS);
        stats.avoidedUntilNanos = nowNanos + durationNanos;
        LOG.info(
                "event=upstream_avoided id={} for_ms={} answered={} failed={} times={}",
                name,
                durationNanos / NANOS_PER_MILLI,
                stats.answered,
                stats.failed,
                stats.consecutiveAvoidances);
        stats.clear();
    }

    /** Totals of the reports on one upstream. */
    private static final class UpstreamStats {
        private final Map<String, RouteStats> routes = new HashMap<>();
        private double answered;
        private double failed;
        private int consecutiveAvoidances;
        private long avoidedUntilNanos;

        private void decay() {
            answered *= PERIOD_DECAY;
            failed *= PERIOD_DECAY;
            routes.values().forEach(routeStats -> {
                routeStats.requests *= PERIOD_DECAY;
                routeStats.seconds *= PERIOD_DECAY;
            });
        }

        private void clear() {
            routes.clear();
            answered = 0;
            failed = 0;
        }
    }

    /** Requests of one route to one upstream. */
    private static final class RouteStats {
        private double requests;
        private double seconds;
    }
}
