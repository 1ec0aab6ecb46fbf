package org.arbutusfield.distribution;

import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.wire.ControlLimits;

/**
 * What a host's control plane is told at its start.
 *
 * @param membership this host, seeds and membership's limits
 * @param control limits of control connections
 * @param leader times of the failure domain's lease
 */
public record ControlPlaneSettings(MembershipSettings membership, ControlLimits control, LeaderSettings leader) {}
