package org.arbutusfield.steering;

import java.util.OptionalDouble;
import org.arbutusfield.quota.Rates;
import org.arbutusfield.quota.UpstreamQuota;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;

/**
 * Which upstreams accept only a limited rate from all hosts together: those that are cold, and those that have named a
 * limit. Callers pass the current time.
 */
final class SharedRates {
    private final UpstreamQuota quota;

    private SharedRates(UpstreamQuota quota) {
        this.quota = quota;
    }

    /**
     * Creates an instance.
     *
     * @param quota knows which upstreams have named a limit
     */
    static SharedRates of(UpstreamQuota quota) {
        return new SharedRates(quota);
    }

    /**
     * Returns the requests per second that the upstream accepts from all hosts together; empty if it is not limited.
     */
    OptionalDouble of(LiveUpstream upstream, SteeringState current, long nowNanos) {
        return Rates.lower(quota.namedRate(upstream.start()), coldRate(upstream, current, nowNanos));
    }

    /** Returns the requests per second that the upstream accepts because it is cold; empty if it is not. */
    OptionalDouble coldRate(LiveUpstream upstream, SteeringState current, long nowNanos) {
        if (!upstream.cold(nowNanos)) {
            return OptionalDouble.empty();
        }
        double perSecond = current.routes()
                .flatMap(table -> table.service(upstream.upstream().service()))
                .map(ServicePolicy::coldRequestsPerSecond)
                .orElse(0.0);
        return OptionalDouble.of(perSecond);
    }
}
