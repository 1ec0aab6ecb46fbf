package org.arbutusfield.member;

import java.util.List;

/**
 * Shows that the sender is alive and carries rumours about members. Sent as a request and as its response.
 *
 * @param name the sender
 * @param incarnation the sender's incarnation
 * @param state state of the sender, alive or leaving
 * @param refutation how many times the sender has refuted a suspicion
 * @param announcement the configuration that the sender has installed
 * @param tableDigest digest of the members that are present in the sender's table
 * @param introduce true when the sender lacks the receiver's record and asks for it
 * @param rumours rumours about members, most urgent first
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
