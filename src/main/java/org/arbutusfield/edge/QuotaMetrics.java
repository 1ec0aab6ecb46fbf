package org.arbutusfield.edge;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.arbutusfield.quota.QuotaOutcome;

/** Counts the questions of this host for permissions to send requests to limited upstreams, by outcome. */
final class QuotaMetrics {
    private final Map<QuotaOutcome, Counter> counters = new EnumMap<>(QuotaOutcome.class);

    private QuotaMetrics() {}

    static QuotaMetrics of(MeterRegistry registry) {
        QuotaMetrics metrics = new QuotaMetrics();
        for (QuotaOutcome outcome : QuotaOutcome.values()) {
            Counter counter = Counter.builder("arbutusfield.quota.questions")
                    .description("questions for the permission to send a request to a limited upstream")
                    .tag("outcome", outcome.name().toLowerCase(Locale.ROOT))
                    .register(registry);
            metrics.counters.put(outcome, counter);
        }
        return metrics;
    }

    void count(QuotaOutcome outcome) {
        counters.get(outcome).increment();
    }
}
