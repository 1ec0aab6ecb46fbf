package org.arbutusfield.member;

import java.time.Duration;

/**
 * Limits and timeouts of the membership protocol.
 *
 * @param interval time between two heartbeats to a peer
 * @param suspectAfter time without a response after which a peer is suspected
 * @param deadAfter time without refutation after which a suspect counts as dead
 * @param forgetAfter time after which leaving and dead members are forgotten
 * @param domainRings rings over the members of the host's own failure domain; each gives one peer
 * @param globalRings rings over all members; each gives one peer
 * @param maxRumours largest number of rumours in one heartbeat
 * @param maxQueued largest number of rumours that wait to be sent; further ones reach other hosts by table
 *     synchronization only
 * @param rumourRounds number of heartbeat rounds that carry a rumour
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

    /** The limits that a daemon uses. */
    public static MembershipLimits defaults() {
        return STANDARD;
    }
}
