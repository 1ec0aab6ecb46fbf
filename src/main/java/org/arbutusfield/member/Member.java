package org.arbutusfield.member;

import org.arbutusfield.wire.PeerAddress;

/**
 * One host of the system.
 *
 * @param name unique name of the host
 * @param region its region
 * @param failureDomain its failure domain
 * @param callerHost IP address on which it listens
 * @param callerPort TCP port for callers
 * @param controlPort TCP port for other hosts
 * @param incarnation distinguishes processes of the same name; a larger number is later
 * @param state its state as known to the observing host
 */
public record Member(
        String name,
        String region,
        String failureDomain,
        String callerHost,
        int callerPort,
        int controlPort,
        long incarnation,
        MemberState state) {

    /** The same member in another state. */
    public Member withState(MemberState other) {
        return new Member(name, region, failureDomain, callerHost, callerPort, controlPort, incarnation, other);
    }

    /** The address on which it listens for control messages. */
    public PeerAddress controlAddress() {
        return new PeerAddress(callerHost, controlPort);
    }
}
