package org.arbutusfield.member;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.wire.PeerAddress;

/**
 * What the membership service of a host is told at its start.
 *
 * @param self this host
 * @param seeds control addresses of some hosts, tried while no other host is known
 * @param limits bounds and times
 * @param listInterval time between two readings of the platform's list
 */
public record MembershipSettings(Member self, List<PeerAddress> seeds, MembershipLimits limits, Duration listInterval) {
    /** Copies the list so that the settings stay immutable. */
    public MembershipSettings {
        seeds = List.copyOf(seeds);
    }
}
