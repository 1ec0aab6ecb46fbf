package org.arbutusfield.member;

/**
 * A statement about a member, ordered among all statements about it.
 *
 * <p>The order: a higher incarnation supersedes; within one, leaving supersedes all; else a higher refutation does;
 * else dead over suspect over alive. Being a total order that every host applies alike, it makes views converge
 * whatever the order of arrival.
 *
 * @param member the member and its claimed state
 * @param refutation how often the member has denied a suspicion in this incarnation
 */
public record Rumour(Member member, int refutation) {
    /** True when this statement replaces the other, which is about the same member. */
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

    /** The same statement with another state. */
    Rumour withState(MemberState state) {
        return new Rumour(member.withState(state), refutation);
    }

    /** A hash of which process is there, 0 when it is not; suspicion doesn't change it. */
    long fingerprint() {
        if (!state().present()) {
            return 0;
        }
        return Hashing.mix(Hashing.name(member.name()) ^ Hashing.mix(member.incarnation() + refutation));
    }
}
