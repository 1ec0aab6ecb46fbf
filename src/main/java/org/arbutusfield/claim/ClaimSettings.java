package org.arbutusfield.claim;

import java.time.Duration;

/**
 * Limits of claiming; the same on every host.
 *
 * @param shards values over which keys are spread; never changed while claims are alive; at most the writes a host has
 *     within {@code maxWait}, or claims wait too long under load
 * @param window how long a key stays claimed after it was first claimed
 * @param runLimit longest time a request may run; an older unfinished claim has an unknown outcome
 * @param maxWait longest time a request waits for its claim
 * @param finishDelay how long the end of a request may wait to share a write with others; the removal of a claim waits
 *     less, so that a caller who was told "not run" may try again
 * @param writesPerSecond this host's share of the store's writes
 * @param maxClaims most claims in one shard
 */
public record ClaimSettings(
        int shards,
        Duration window,
        Duration runLimit,
        Duration maxWait,
        Duration finishDelay,
        double writesPerSecond,
        int maxClaims) {

    /** Limits for some twenty hosts on a store of several hundred writes a second. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                16,
                Duration.ofHours(24),
                Duration.ofMinutes(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                20,
                ClaimShard.MAX_CLAIMS);
    }
}
