package org.arbutusfield.observe;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.proxy.RequestObserver;
import org.arbutusfield.proxy.RequestRecord;

/**
 * Counts finished requests and their retries, and records how long complete ones took. Thread-safe.
 *
 * <p>Meters are cached by the values of their tags, because a look-up in the registry builds and sorts the tags each
 * time.
 */
public final class RequestMetrics implements RequestObserver {
    private final MeterRegistry registry;
    private final Map<RequestKey, Counter> requests = new ConcurrentHashMap<>();
    private final Map<String, Counter> retries = new ConcurrentHashMap<>();
    private final Map<String, Timer> timers = new ConcurrentHashMap<>();

    private RequestMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Creates the meters in a registry, each when it is first needed. */
    public static RequestMetrics of(MeterRegistry registry) {
        return new RequestMetrics(registry);
    }

    @Override
    public void finished(RequestRecord request) {
        String failure = request.failure().map(ErrorCode::name).orElse("none");
        RequestKey key = new RequestKey(request.service(), request.requestClass(), request.outcome(), failure);
        requests.computeIfAbsent(key, this::requestCounter).increment();
        if (request.retries() > 0) {
            retries.computeIfAbsent(request.service(), this::retryCounter).increment(request.retries());
        }
        if (request.outcome() == RequestRecord.Result.WHOLE) {
            requestTimer(request).record(request.totalNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private Counter requestCounter(RequestKey key) {
        return Counter.builder("arbutusfield.requests")
                .tag("service", key.service())
                .tag("class", key.requestClass())
                .tag("outcome", key.outcome().name())
                .tag("failure", key.failure())
                .register(registry);
    }

    private Counter retryCounter(String service) {
        return Counter.builder("arbutusfield.retries").tag("service", service).register(registry);
    }

    private Timer requestTimer(RequestRecord request) {
        return timers.computeIfAbsent(
                request.service() + '/' + request.requestClass(),
                key -> Timer.builder("arbutusfield.request.time")
                        .tag("service", request.service())
                        .tag("class", request.requestClass())
                        .publishPercentileHistogram()
                        .register(registry));
    }

    /**
     * Key of the request counters. Equality is written out, because the generated methods of a record are linked at run
     * time, which takes longer than the few requests of a short-lived process.
     */
    private record RequestKey(String service, String requestClass, RequestRecord.Result outcome, String failure) {
        @Override
        public boolean equals(Object other) {
            return other instanceof RequestKey that
                    && service.equals(that.service)
                    && requestClass.equals(that.requestClass)
                    && outcome == that.outcome
                    && failure.equals(that.failure);
        }

        @Override
        public int hashCode() {
            return ((service.hashCode() * 31 + requestClass.hashCode()) * 31
                                    + outcome.name().hashCode())
                            * 31
                    + failure.hashCode();
        }
    }
}
