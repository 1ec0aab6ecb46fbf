package org.arbutusfield.member;

import java.util.List;
import java.util.Optional;

/**
 * The result of applying one input to a {@link MembershipView}.
 *
 * @param view the next view
 * @param outgoing heartbeats to send
 * @param reply the response to the heartbeat that was the input
 * @param syncWith a peer whose table differs and from which to synchronize
 * @param urgent true when there are rumours to send before the next regular heartbeat
 */
public record MembershipTransition(
        MembershipView view,
        List<OutgoingHeartbeat> outgoing,
        Optional<Heartbeat> reply,
        Optional<Member> syncWith,
        boolean urgent) {

    /** Copies the list so that the transition stays immutable. */
    public MembershipTransition {
        outgoing = List.copyOf(outgoing);
    }
}
