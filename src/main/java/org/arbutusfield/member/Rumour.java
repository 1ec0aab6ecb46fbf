package org.arbutusfield.member;

/**
 * A gossiped claim about the state of a member. All rumours about one member are totally ordered.
 *
 * <p>Order: a higher incarnation supersedes a lower one. Within an incarnation, leaving supersedes every other state;
 * otherwise a higher refutation count supersedes a lower one; otherwise dead supersedes suspect, and suspect supersedes
 * alive. Every host applies the same order, so views converge whatever the order of arrival.
 *
 * @param member the member and its claimed state
 * @param refutation how many times the member has refuted a suspicion in this incarnation
 */
public record Rumour(Member member, int refutation) {
    /** Whether this rumour replaces the other, which is about the same member. */
    public boolean supersedes(Rumour other) {
        if (member.incarnation() != other.member.incarnation()) {
            return member.incarnation() > other.member.incarnation();
        }
        if (other.state() == MemberState.LEAVING || state() == MemberState.LEAVING) {
            return other.state() != MemberState.LEAVING;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return state().compareTo(other.state()) > 0;
    }

    /** The claimed state. */
    public MemberState state() {
        return member.state();
    }

    /** The same rumour with another state. */
    Rumour withState(MemberState state) {
        return new Rumour(member.withState(state), refutation);
    }

    /** Hash that identifies the present process, or 0 when the member is not present. Suspicion does not change it. */
    long fingerprint() {
        if (!state().present()) {
            return 0;
        }
        return Hashing.mix(Hashing.fnv1a(member.name()) ^ Hashing.mix(member.incarnation() + refutation));
    }
}
