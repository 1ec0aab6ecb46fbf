package org.arbutusfield.steering;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.route.ServicePolicy;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;

/**
 * Which upstreams accept only a limited rate from all hosts together: those that are cold, and those that have named a
 * limit.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
final class SharedRates {
    /** An upstream that names next to nothing must still be asked whether that has changed. In requests per second. */
    private static final double MIN_NAMED_RATE = 0.3;

    private static final double MIN_AGE_PERIODS = 3;
    private static final double MAX_AGE_PERIODS = 6;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;

    private final long selfHash;
    private final UpstreamAvailability availability;
    private final FleetSize fleetSize;

    private SharedRates(long selfHash, UpstreamAvailability availability, FleetSize fleetSize) {
        this.selfHash = selfHash;
        this.availability = availability;
        this.fleetSize = fleetSize;
    }

    /**
     * Creates an instance.
     *
     * @param self name of this host
     * @param availability knows which upstreams have named a limit
     * @param fleetSize number of hosts that share each rate
     */
    static SharedRates of(String self, UpstreamAvailability availability, FleetSize fleetSize) {
        return new SharedRates(WeightedRendezvous.hash(self), availability, fleetSize);
    }

    /**
     * Returns the requests per second that the upstream accepts from all hosts together; empty if it is not limited.
     */
    OptionalDouble of(LiveUpstream upstream, SteeringState current, long nowNanos) {
        OptionalDouble named = namedRate(upstream, nowNanos);
        if (!upstream.cold(nowNanos)) {
            return named;
        }
        double cold = coldRate(upstream, current);
        return OptionalDouble.of(Math.min(cold, named.orElse(cold)));
    }

    /** Returns the rate that the upstream named, unless this host has heard nothing from it for long. */
    private OptionalDouble namedRate(LiveUpstream upstream, long nowNanos) {
        Optional<UpstreamAvailability.RateLimit> limit = availability.rateLimit(upstream);
        if (limit.isEmpty()) {
            return OptionalDouble.empty();
        }
        double perSecond = Math.max(MIN_NAMED_RATE, limit.get().perSecond());
        boolean expired = nowNanos - limit.get().heardNanos() > maxAgeNanos(upstream, perSecond);
        return expired ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
    }

    private static double coldRate(LiveUpstream upstream, SteeringState current) {
        return current.routes()
                .flatMap(table -> table.service(upstream.upstream().service()))
                .map(ServicePolicy::coldRequestsPerSecond)
                .orElse(0.0);
    }

    /**
     * Returns how long a limit may be taken to hold that the upstream has not named again, as a multiple of the time in
     * which each host sends it one request in the mean. Most hosts send it so few requests that they would otherwise
     * learn late that the limit has ended. Hosts use different times, so that they do not all try at once.
     */
    private double maxAgeNanos(LiveUpstream upstream, double perSecond) {
        double periods = MIN_AGE_PERIODS + fraction(upstream) * (MAX_AGE_PERIODS - MIN_AGE_PERIODS);
        return periods * fleetSize.largest() * NANOS_PER_SECOND / perSecond;
    }

    /** Returns a number from 0 to 1 that is different for each host and upstream. */
    private double fraction(LiveUpstream upstream) {
        long mixed = WeightedRendezvous.mix(selfHash ^ WeightedRendezvous.mix(upstream.nameHash()));
        return (mixed >>> 11) * UNIT_INTERVAL_SCALE;
    }
}
