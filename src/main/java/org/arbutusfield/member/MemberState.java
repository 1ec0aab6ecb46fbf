package org.arbutusfield.member;

import java.util.Optional;

/** State of a member as known to the observing host. */
public enum MemberState {
    /** In service. */
    ALIVE(0),
    /** Did not respond to one of the hosts that monitor it; stays in service until the suspicion times out. */
    SUSPECT(1),
    /** Leaving; accepts no new work and does not return in this incarnation. */
    LEAVING(2),
    /** Suspected for longer than the timeout; becomes alive again if it refutes that. */
    DEAD(3);

    private final int code;

    MemberState(int code) {
        this.code = code;
    }

    /** The number that encodes the state in messages. */
    public int code() {
        return code;
    }

    /** Whether the member counts as present: alive or suspected. */
    public boolean present() {
        return this == ALIVE || this == SUSPECT;
    }

    /** The state for a number, if there is one. */
    public static Optional<MemberState> of(int code) {
        for (MemberState state : values()) {
            if (state.code == code) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }
}
