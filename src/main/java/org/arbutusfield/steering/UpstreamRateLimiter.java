package org.arbutusfield.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.arbutusfield.lookup.WeightedRendezvous;
import org.arbutusfield.state.LiveUpstream;

/**
 * Limits this host's requests to upstreams that accept only a certain rate from all hosts together.
 *
 * <p>Problem: no host knows how many requests the others send, and the hosts do not always agree about who they are.
 * Their lists differ while hosts join, register again or are cut off from the store, and a host that was paused acts on
 * an old list. A right that depends on the list may then be held by too many hosts.
 *
 * <p>Idea: each host gets an equal part of the rate, whether or not the others use theirs: one request in a period of
 * {@code hosts / rate}. It may send it only during its turn, a fraction of the period that begins at another time on
 * each host. An unused turn is lost, so the hosts can't all send at once when load moves to the upstream.
 *
 * <p>Invariants: a host sends at most one request in a turn. Only the number of hosts matters, and it is never taken
 * for less than the largest number that this host has seen; a host with a short or an old list sends no more than its
 * part. Turns begin at hashed times, so the sum over all hosts in a short time varies around the usable fraction of the
 * rate.
 *
 * <p>Example: an upstream accepts 7.6 requests per second, of which 5.3 are used. Each of twenty hosts has a turn of
 * half a second in a period of 3.8 seconds; between two and three hosts have a turn at any time.
 *
 * <p>Callers pass the current time. Not thread-safe; must be used from one thread.
 */
final class UpstreamRateLimiter {
    /** The rest of the rate covers that the hosts' turns are not spread evenly. */
    private static final double USABLE_FRACTION = 0.7;
    /** Shorter turns would often pass without a request of a caller for the upstream. */
    private static final Duration MIN_TURN = Duration.ofMillis(500);
    /** With a low rate, turns are so long that this number of hosts has one at any time. */
    private static final double MIN_HOSTS_WITH_TURN = 2;

    private static final double MIN_AGE_PERIODS = 2;
    private static final double MAX_AGE_PERIODS = 4;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final long selfHash;
    private final FleetSize fleetSize;
    private final Map<String, Long> lastSentNanos = new HashMap<>();

    private UpstreamRateLimiter(long selfHash, FleetSize fleetSize) {
        this.selfHash = selfHash;
        this.fleetSize = fleetSize;
    }

    /**
     * Creates the limiter of a host.
     *
     * @param self name of the host
     * @param fleetSize number of hosts that share each rate
     */
    static UpstreamRateLimiter of(String self, FleetSize fleetSize) {
        return new UpstreamRateLimiter(WeightedRendezvous.hash(self), fleetSize);
    }

    /**
     * Returns true when this host may send the upstream a request now.
     *
     * @param upstream an upstream with a limit
     * @param perSecond requests per second that it accepts from all hosts together
     * @param nowNanos current monotonic time
     */
    boolean allows(LiveUpstream upstream, double perSecond, long nowNanos) {
        if (perSecond <= 0) {
            return false;
        }
        double period = periodNanos(perSecond);
        double turn = Math.max((double) MIN_TURN.toNanos(), period * MIN_HOSTS_WITH_TURN / fleetSize.largest());
        double position = nowNanos / period + offset(upstream);
        double turnStart = nowNanos - (position - Math.floor(position)) * period;
        if (nowNanos - turnStart >= turn) {
            return false;
        }
        Long lastSent = lastSentNanos.get(upstream.name());
        return lastSent == null || (lastSent < turnStart && nowNanos - lastSent >= period / 2);
    }

    /**
     * Returns how long a limit may be taken to hold that the upstream has not named again. Most hosts send it so few
     * requests that they would otherwise learn late that the limit has ended. Hosts use different times, so that they
     * do not all try at once.
     *
     * @param upstream an upstream with a limit
     * @param perSecond requests per second that it accepts from all hosts together; more than zero
     */
    double maxAgeNanos(LiveUpstream upstream, double perSecond) {
        double periods = MIN_AGE_PERIODS + offset(upstream) * (MAX_AGE_PERIODS - MIN_AGE_PERIODS);
        return periods * periodNanos(perSecond);
    }

    /** Returns the time in which this host may send one request, in nanoseconds. */
    private double periodNanos(double perSecond) {
        return fleetSize.largest() * NANOS_PER_SECOND / (perSecond * USABLE_FRACTION);
    }

    /** Records that this host sends the upstream a request. */
    void recordSent(LiveUpstream upstream, long nowNanos) {
        lastSentNanos.put(upstream.name(), nowNanos);
    }

    /** Discards what no longer has an effect. */
    void discardExpired(long nowNanos) {
        lastSentNanos.values().removeIf(lastSent -> nowNanos - lastSent > RETENTION.toNanos());
    }

    /** Returns when this host's turns begin, as a fraction of the period. */
    private double offset(LiveUpstream upstream) {
        long mixed = WeightedRendezvous.mix(selfHash ^ WeightedRendezvous.mix(upstream.nameHash()));
        return (mixed >>> 11) * UNIT_INTERVAL_SCALE;
    }
}
