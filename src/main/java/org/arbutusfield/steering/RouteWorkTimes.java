package org.arbutusfield.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The work of requests in a slot of a usual upstream, in seconds: of each route at an object's home and elsewhere, and
 * of all requests of a service.
 *
 * <p>{@code proxy.ResponseTimes} keeps the slowest responses, which is right for giving up a connection and too long
 * for an expectation. Here the expected wait and the stated slowness are taken out of each response's time, and a mean
 * is kept. A time that is far from the mean counts in part, because the wait is only an estimate.
 *
 * <p>Not thread-safe.
 */
final class RouteWorkTimes {
    /** Work at the home relative to that elsewhere, until both are measured. */
    private static final double WARM_TO_COLD = 0.3;

    private static final double SMOOTHING = 0.1;
    /** Bounds of the effect of one time, relative to the mean. */
    private static final double LEAST = 0.3;

    private static final double MOST = 3;
    /** Bounds the memory: routes come from the configuration, and are discarded together. */
    private static final int MAX_ROUTES = 10_000;

    private final Map<String, Double> warm = new HashMap<>();
    private final Map<String, Double> cold = new HashMap<>();
    private final Map<String, Double> byService = new HashMap<>();

    private RouteWorkTimes() {}

    static RouteWorkTimes create() {
        return new RouteWorkTimes();
    }

    /** Records the work of a completed request. */
    void record(String service, String route, boolean atHome, double seconds) {
        if (warm.size() + cold.size() > MAX_ROUTES) {
            warm.clear();
            cold.clear();
        }
        String key = service + '/' + route;
        update(atHome ? warm : cold, key, seconds);
        update(byService, service, seconds);
    }

    /** Returns the expected work of a route at the home or elsewhere; empty if neither was measured. */
    OptionalDouble of(String service, String route, boolean atHome) {
        String key = service + '/' + route;
        Double measured = (atHome ? warm : cold).get(key);
        Double other = (atHome ? cold : warm).get(key);
        if (measured != null) {
            return OptionalDouble.of(measured);
        }
        return other == null
                ? OptionalDouble.empty()
                : OptionalDouble.of(atHome ? other * WARM_TO_COLD : other / WARM_TO_COLD);
    }

    /** Returns the mean work of a service's requests; empty if none was measured. */
    OptionalDouble mean(String service) {
        Double mean = byService.get(service);
        return mean == null ? OptionalDouble.empty() : OptionalDouble.of(mean);
    }

    private static void update(Map<String, Double> means, String key, double seconds) {
        means.merge(
                key,
                Math.max(1e-6, seconds),
                (mean, next) -> mean + SMOOTHING * (Math.max(LEAST * mean, Math.min(MOST * mean, next)) - mean));
    }
}
