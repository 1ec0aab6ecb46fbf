package org.arbutusfield.member;

import org.arbutusfield.wire.PeerAddress;

/**
 * One host of the system.
 *
 * @param name unique name of the host
 * @param region its region
 * @param failureDomain its failure domain
 * @param callerHost IP number on which it listens
 * @param callerPort TCP port for callers
 * @param controlPort TCP port for other hosts
 * @param incarnation tells processes of one name apart; larger is later
 * @param state what is held of it
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

    /** Where it listens for control messages. */
    public PeerAddress controlAddress() {
        return new PeerAddress(callerHost, controlPort);
    }
}
