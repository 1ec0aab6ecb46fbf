package org.arbutusfield.member;

import java.util.List;

/**
 * A sign of life, sent as a request and as its response.
 *
 * @param name the sender
 * @param incarnation the sender's incarnation
 * @param state alive or leaving, as the sender says of itself
 * @param refutation how often the sender denied a suspicion
 * @param announcement the configuration that the sender has installed
 * @param tableDigest digest of the members that the sender holds to be there
 * @param introduce true when the sender lacks the receiver's record
 * @param rumours statements about members, newest news first
 */
public record Heartbeat(
        String name,
        long incarnation,
        MemberState state,
        int refutation,
        RevisionAnnouncement announcement,
        long tableDigest,
        boolean introduce,
        List<Rumour> rumours) {

    /** Copies the list so that the message stays immutable. */
    public Heartbeat {
        rumours = List.copyOf(rumours);
    }
}
