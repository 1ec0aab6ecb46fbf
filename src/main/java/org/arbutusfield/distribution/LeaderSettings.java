package org.arbutusfield.distribution;

import java.time.Duration;

/**
 * Durations of a domain leader's lease.
 *
 * @param length lifetime of the lease without renewal
 * @param margin time before the end at which the holder stops relying on the lease
 * @param renewalInterval time between two requests of a holder or candidate
 */
public record LeaderSettings(Duration length, Duration margin, Duration renewalInterval) {
    private static final LeaderSettings STANDARD =
            new LeaderSettings(Duration.ofSeconds(9), Duration.ofSeconds(2), Duration.ofSeconds(2));

    /** The durations that a daemon uses. */
    public static LeaderSettings defaults() {
        return STANDARD;
    }
}
