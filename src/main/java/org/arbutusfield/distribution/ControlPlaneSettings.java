package org.arbutusfield.distribution;

import org.arbutusfield.member.MembershipSettings;
import org.arbutusfield.wire.ControlLimits;

/**
 * Settings of a host's control plane.
 *
 * @param membership this host, seeds and limits of membership
 * @param control limits of control connections
 * @param leader durations of the failure domain's lease
 */
public record ControlPlaneSettings(MembershipSettings membership, ControlLimits control, LeaderSettings leader) {}
