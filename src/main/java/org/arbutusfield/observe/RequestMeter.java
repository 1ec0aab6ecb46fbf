package org.arbutusfield.observe;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Objective;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RequestObserver;
import org.arbutusfield.proxy.RequestRecord;
import org.arbutusfield.timer.TimerService;

/**
 * Counts finished requests, in metrics and against objectives. A request whose caller disconnected appears in the
 * metrics but does not count against an objective. Each objective has its own counter and lock.
 */
public final class RequestMeter implements RequestObserver {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String host;
    private final long incarnation;
    private final String region;
    private final RequestMetrics metrics;
    private final Supplier<Configuration> configurationInForce;
    private final TimerService timer;
    private final Map<ObjectiveKey, BurnCounter> counters = new ConcurrentHashMap<>();

    private RequestMeter(
            String host,
            long incarnation,
            String region,
            MeterRegistry registry,
            Supplier<Configuration> configurationInForce,
            TimerService timer) {
        this.host = host;
        this.incarnation = incarnation;
        this.region = region;
        this.metrics = RequestMetrics.of(registry);
        this.configurationInForce = configurationInForce;
        this.timer = timer;
    }

    /**
     * Creates the meter of one process.
     *
     * @param host name of the host
     * @param incarnation incarnation number of the process
     * @param region the host's region
     * @param registry registry of the metrics
     * @param configurationInForce supplies the configuration in force, with the objectives
     * @param timer source of monotonic time
     */
    public static RequestMeter create(
            String host,
            long incarnation,
            String region,
            MeterRegistry registry,
            Supplier<Configuration> configurationInForce,
            TimerService timer) {
        return new RequestMeter(host, incarnation, region, registry, configurationInForce, timer);
    }

    @Override
    public void finished(RequestRecord request) {
        metrics.finished(request);
        objective(request.service(), request.requestClass())
                .ifPresent(objective -> countAgainstObjective(request, objective));
    }

    /** Returns the counts of this process for all objectives of the configuration in force. */
    public HostBurn burn() {
        List<BurnRow> rows = configurationInForce.get().items(Service.class).stream()
                .flatMap(service -> service.objectives().stream().map(objective -> row(service.name(), objective)))
                .toList();
        return new HostBurn(host, incarnation, rows);
    }

    private void countAgainstObjective(RequestRecord request, Objective objective) {
        if (request.outcome() == RequestRecord.Result.CALLER_GONE) {
            return;
        }
        BurnCounter counter = counter(new ObjectiveKey(request.service(), region, request.requestClass()));
        boolean complete = request.outcome() == RequestRecord.Result.WHOLE;
        boolean late = request.totalNanos() > objective.latencyMillis() * NANOS_PER_MILLI;
        synchronized (counter) {
            if (complete && !late) {
                counter.good(nowSeconds());
            } else {
                counter.bad(complete ? BurnReason.LATE : BurnReason.of(request), nowSeconds());
            }
        }
    }

    private BurnRow row(String service, Objective objective) {
        ObjectiveKey key = new ObjectiveKey(service, region, objective.requestClass());
        BurnCounter counter = counter(key);
        Map<BurnWindow, BurnCounts> windows = new EnumMap<>(BurnWindow.class);
        synchronized (counter) {
            for (BurnWindow window : BurnWindow.values()) {
                windows.put(window, counter.counts(window, nowSeconds()));
            }
            return new BurnRow(
                    key,
                    objective.latencyMillis(),
                    objective.target(),
                    objective.windowDays(),
                    windows,
                    counter.burningForSeconds(nowSeconds()));
        }
    }

    private BurnCounter counter(ObjectiveKey key) {
        return counters.computeIfAbsent(key, k -> BurnCounter.create());
    }

    private Optional<Objective> objective(String service, String requestClass) {
        return configurationInForce.get().service(service).stream()
                .flatMap(s -> s.objectives().stream())
                .filter(objective -> objective.requestClass().equals(requestClass))
                .findFirst();
    }

    private long nowSeconds() {
        return TimeUnit.NANOSECONDS.toSeconds(timer.nowNanos());
    }
}
