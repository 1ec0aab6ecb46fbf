package org.arbutusfield.edge;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.arbutusfield.share.ShareObserver;
import org.arbutusfield.share.ShareOutcome;

/** Counts requests against the limits of teams by outcome, reports to the leader, and the shares held. */
final class TeamShareMetrics implements ShareObserver {
    private final Map<ShareOutcome, Counter> requests = new EnumMap<>(ShareOutcome.class);
    private final Counter answered;
    private final Counter unanswered;
    private volatile int shares;

    private TeamShareMetrics(MeterRegistry registry) {
        for (ShareOutcome outcome : ShareOutcome.values()) {
            Counter counter = Counter.builder("arbutusfield.team.requests")
                    .description("requests counted against the limit of their team")
                    .tag("outcome", outcome.name().toLowerCase(Locale.ROOT))
                    .register(registry);
            requests.put(outcome, counter);
        }
        answered = reports(registry, "true");
        unanswered = reports(registry, "false");
    }

    static TeamShareMetrics of(MeterRegistry registry) {
        TeamShareMetrics metrics = new TeamShareMetrics(registry);
        Gauge.builder("arbutusfield.team.shares", metrics, held -> held.shares)
                .description("teams of whose limit this host holds a share")
                .register(registry);
        return metrics;
    }

    private static Counter reports(MeterRegistry registry, String answered) {
        return Counter.builder("arbutusfield.team.reports")
                .description("reports of the demand of teams to the leader")
                .tag("answered", answered)
                .register(registry);
    }

    @Override
    public void counted(ShareOutcome outcome) {
        requests.get(outcome).increment();
    }

    @Override
    public void reported(boolean wasAnswered) {
        (wasAnswered ? answered : unanswered).increment();
    }

    @Override
    public void holds(int held) {
        shares = held;
    }
}
