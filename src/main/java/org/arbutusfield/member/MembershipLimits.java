package org.arbutusfield.member;

import java.time.Duration;

/**
 * Bounds and times of membership.
 *
 * @param interval time between two heartbeats to a peer
 * @param suspectAfter silence of a peer after which it is suspected
 * @param deadAfter time without refutation after which a suspect counts as dead
 * @param forgetAfter time after which leaving and dead members are forgotten
 * @param domainRings peers in the own failure domain
 * @param globalRings peers among all hosts
 * @param maxRumours statements in one heartbeat
 * @param maxQueued statements that wait to be passed on; further ones are left to the comparison of tables
 * @param rumourRounds rounds of heartbeats that carry a statement
 */
public record MembershipLimits(
        Duration interval,
        Duration suspectAfter,
        Duration deadAfter,
        Duration forgetAfter,
        int domainRings,
        int globalRings,
        int maxRumours,
        int maxQueued,
        int rumourRounds) {

    private static final MembershipLimits STANDARD = new MembershipLimits(
            Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(4), Duration.ofHours(2), 5, 3, 16, 64, 1);

    /** The limits of a daemon. */
    public static MembershipLimits standard() {
        return STANDARD;
    }
}
