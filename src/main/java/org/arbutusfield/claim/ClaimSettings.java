package org.arbutusfield.claim;

import java.time.Duration;

/**
 * Limits of claims; the same on every host.
 *
 * @param shards number of store values over which keys are distributed; must not change while claims exist, and must
 *     not exceed the number of writes that a host may make within {@code maxWait}, or claims wait too long under load
 * @param window how long a key stays claimed after it was first claimed
 * @param runLimit maximum running time of a request; an older unfinished claim has an unknown outcome
 * @param maxWait maximum time that a request waits for its claim
 * @param finishDelay how long the completion of a claim may be delayed to share a write with others; the removal of a
 *     claim is delayed less, so that a caller who was told "not run" can retry
 * @param writesPerSecond this host's share of the store's write rate
 * @param maxClaims maximum number of claims in one shard
 */
public record ClaimSettings(
        int shards,
        Duration window,
        Duration runLimit,
        Duration maxWait,
        Duration finishDelay,
        double writesPerSecond,
        int maxClaims) {

    /** Returns limits for about twenty hosts on a store that handles several hundred writes per second. */
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
