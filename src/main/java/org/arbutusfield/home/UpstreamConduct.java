package org.arbutusfield.home;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * How the upstreams of one service do, by what all hosts report, and which of them should get no objects for a while.
 *
 * <p>Problem: a single host sees a few requests a second to each upstream, too few to tell a slow or failing one from
 * bad luck. All hosts together see enough.
 *
 * <p>Idea: an upstream is compared with the others. It is slow when its requests take several times as long as the
 * median upstream needs for the same routes, and it fails when a good part of its requests get no answer. It is avoided
 * for a time that doubles when the trouble comes back, and then tried again.
 *
 * <p>Invariant: never more than a part of the upstreams is avoided; when most are in trouble, none is out of line.
 *
 * <p>Time is given by the caller. Not thread-safe; its owner calls it on one thread.
 */
final class UpstreamConduct {
    private static final Logger LOG = LogManager.getLogger(UpstreamConduct.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double SLOW_RATIO = 4;
    private static final double SLOW_LEAST_REQUESTS = 4;
    private static final double FAILING_SHARE = 0.5;
    private static final double FAILING_LEAST = 3;
    private static final double COMMON_SHARE = 0.3;
    private static final double MOST_AVOIDED = 0.34;
    /** What is left of older reports after each period. */
    private static final double KEPT = 0.5;

    private static final Duration FIRST_AVOIDANCE = Duration.ofSeconds(2);
    private static final int DOUBLINGS = 2;
    private static final Duration CLEARED_AFTER = Duration.ofSeconds(15);

    private final Map<String, Reports> reports = new HashMap<>();

    /** Takes over a host's report on an object at its home. */
    void report(ObjectUse use, long nowNanos) {
        if (use.upstream().isEmpty() || use.requests() + use.failures() == 0) {
            return;
        }
        Reports seen = reports.computeIfAbsent(use.upstream(), name -> new Reports());
        RouteTotal total = seen.routes.computeIfAbsent(use.route(), route -> new RouteTotal());
        total.requests += use.requests();
        total.seconds += use.busyMicros() / 1e6;
        seen.answered += use.requests();
        seen.failed += use.failures();
        if (use.failures() > 0 && !avoided(use.upstream(), nowNanos) && failing(seen)) {
            avoid(use.upstream(), seen, nowNanos);
        }
    }

    /** Ends a period: compares upstreams with each other and lets older reports fade. */
    void endPeriod(List<Candidate> upstreams, long nowNanos) {
        reports.keySet().retainAll(upstreams.stream().map(Candidate::name).toList());
        Map<String, Double> usual = usualSeconds();
        reports.forEach((name, seen) -> {
            if (!avoided(name, nowNanos) && slow(seen, usual)) {
                avoid(name, seen, nowNanos);
            }
            seen.fade();
        });
    }

    /** True while the upstream should get no objects. */
    boolean avoided(String upstream, long nowNanos) {
        Reports seen = reports.get(upstream);
        return seen != null && seen.avoidedUntilNanos - nowNanos > 0;
    }

    /** The candidates that are not avoided; all of them when too few would be left. */
    List<Candidate> usable(List<Candidate> candidates, long nowNanos) {
        List<Candidate> usable = candidates.stream()
                .filter(candidate -> !avoided(candidate.name(), nowNanos))
                .toList();
        return usable.size() < candidates.size() * (1 - MOST_AVOIDED) ? candidates : usable;
    }

    private boolean failing(Reports seen) {
        return seen.failed >= FAILING_LEAST
                && seen.failed >= FAILING_SHARE * (seen.answered + seen.failed)
                && !mostFail();
    }

    /** True when failures are so common that no single upstream is out of line. */
    private boolean mostFail() {
        double failed = 0;
        double all = 0;
        for (Reports seen : reports.values()) {
            failed += seen.failed;
            all += seen.answered + seen.failed;
        }
        return failed > COMMON_SHARE * all;
    }

    private static boolean slow(Reports seen, Map<String, Double> usual) {
        double expected = 0;
        double seconds = 0;
        for (Map.Entry<String, RouteTotal> route : seen.routes.entrySet()) {
            expected += route.getValue().requests * usual.getOrDefault(route.getKey(), 0.0);
            seconds += route.getValue().seconds;
        }
        return seen.answered >= SLOW_LEAST_REQUESTS && seconds > SLOW_RATIO * expected;
    }

    /** The median over upstreams of the mean time of a request, by route. */
    private Map<String, Double> usualSeconds() {
        Map<String, List<Double>> means = new HashMap<>();
        for (Reports seen : reports.values()) {
            seen.routes.forEach((route, total) -> {
                if (total.requests > 0) {
                    means.computeIfAbsent(route, r -> new ArrayList<>()).add(total.seconds / total.requests);
                }
            });
        }
        Map<String, Double> usual = new HashMap<>();
        means.forEach((route, values) -> {
            Collections.sort(values);
            usual.put(route, values.get(values.size() / 2));
        });
        return usual;
    }

    private static void avoid(String name, Reports seen, long nowNanos) {
        boolean recent = nowNanos - seen.avoidedUntilNanos < CLEARED_AFTER.toNanos();
        seen.avoidances = seen.avoidances > 0 && recent ? seen.avoidances + 1 : 1;
        long length = FIRST_AVOIDANCE.toNanos() << Math.min(seen.avoidances - 1, DOUBLINGS);
        seen.avoidedUntilNanos = nowNanos + length;
        LOG.info(
                "event=upstream_avoided id={} for_ms={} answered={} failed={} times={}",
                name,
                length / NANOS_PER_MILLI,
                seen.answered,
                seen.failed,
                seen.avoidances);
        seen.clear();
    }

    /** What hosts reported of one upstream. */
    private static final class Reports {
        private final Map<String, RouteTotal> routes = new HashMap<>();
        private double answered;
        private double failed;
        private int avoidances;
        private long avoidedUntilNanos;

        private void fade() {
            answered *= KEPT;
            failed *= KEPT;
            routes.values().forEach(total -> {
                total.requests *= KEPT;
                total.seconds *= KEPT;
            });
        }

        private void clear() {
            routes.clear();
            answered = 0;
            failed = 0;
        }
    }

    /** Requests of one route at one upstream. */
    private static final class RouteTotal {
        private double requests;
        private double seconds;
    }
}
