package org.arbutusfield.edge;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import org.arbutusfield.proxy.PlacementRequest;
import org.arbutusfield.steering.Choice;
import org.arbutusfield.steering.PlacementObserver;
import org.arbutusfield.steering.PlacementRefusal;

/** Counts refusals because of load by reason and rank, and records the expected waits and the ages of what is known. */
final class LoadMetrics implements PlacementObserver {
    /** Bounds the number of series; less urgent ranks are counted with this one. */
    private static final int MAX_RANK = 9;

    private final MeterRegistry registry;
    private final PlacementObserver next;
    private final Timer expectedWait;
    private final Timer knowledgeAge;

    private LoadMetrics(MeterRegistry registry, PlacementObserver next) {
        this.registry = registry;
        this.next = next;
        expectedWait = Timer.builder("arbutusfield.load.expected_wait")
                .description("expected time until a slot is free at the first choice")
                .register(registry);
        knowledgeAge = Timer.builder("arbutusfield.load.knowledge_age")
                .description("age of the load statement that a decision used")
                .register(registry);
    }

    /** Creates an observer that counts, and tells the next one. */
    static LoadMetrics observing(MeterRegistry registry, PlacementObserver next) {
        return new LoadMetrics(registry, next);
    }

    @Override
    public void placed(PlacementRequest request, Choice choice) {
        next.placed(request, choice);
    }

    @Override
    public void refused(PlacementRequest request, PlacementRefusal refusal) {
        Counter.builder("arbutusfield.load.refused")
                .description("requests refused because of load")
                .tag("reason", refusal.reason().name().toLowerCase(Locale.ROOT))
                .tag("rank", String.valueOf(Math.min(MAX_RANK, refusal.rank())))
                .register(registry)
                .increment();
        next.refused(request, refusal);
    }

    @Override
    public void expected(Duration wait, Duration age) {
        expectedWait.record(wait);
        knowledgeAge.record(age);
        next.expected(wait, age);
    }
}
