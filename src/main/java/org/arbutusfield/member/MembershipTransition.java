package org.arbutusfield.member;

import java.util.List;
import java.util.Optional;

/**
 * The result of one input to a view.
 *
 * @param view the view from now on
 * @param outgoing heartbeats to send
 * @param reply the response to the heartbeat that was the input
 * @param syncWith a peer whose table differs and should be read
 * @param urgent true when there is news that should go out before the next regular heartbeat
 */
public record MembershipTransition(
        MembershipView view,
        List<OutgoingHeartbeat> outgoing,
        Optional<Heartbeat> reply,
        Optional<Member> syncWith,
        boolean urgent) {

    /** Copies the list so that the step stays immutable. */
    public MembershipTransition {
        outgoing = List.copyOf(outgoing);
    }
}
