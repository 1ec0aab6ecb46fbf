package org.arbutusfield.member;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.wire.PeerAddress;

/**
 * Settings of a host's membership service.
 *
 * @param self this host
 * @param seeds control addresses of some hosts, tried while no other host is known
 * @param limits limits and timeouts
 * @param listInterval time between two readings of the platform's host list
 */
public record MembershipSettings(Member self, List<PeerAddress> seeds, MembershipLimits limits, Duration listInterval) {
    /** Copies the list so that the settings stay immutable. */
    public MembershipSettings {
        seeds = List.copyOf(seeds);
    }
}
