package org.arbutusfield.distribution;

import java.time.Duration;

/**
 * Times of a domain leader's lease.
 *
 * @param length how long the lease lives without renewal
 * @param margin how long before its end the holder stops relying on it
 * @param renewal time between two calls of a holder or candidate
 */
public record LeaderSettings(Duration length, Duration margin, Duration renewal) {
    private static final LeaderSettings STANDARD =
            new LeaderSettings(Duration.ofSeconds(9), Duration.ofSeconds(2), Duration.ofSeconds(2));

    /** The times of a daemon. */
    public static LeaderSettings standard() {
        return STANDARD;
    }
}
