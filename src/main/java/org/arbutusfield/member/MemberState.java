package org.arbutusfield.member;

import java.util.Optional;

/** What is held of a member. */
public enum MemberState {
    /** In service. */
    ALIVE(0),
    /** Silent towards one of its monitors; still in service until the suspicion runs out. */
    SUSPECT(1),
    /** Leaving; takes no new work and won't come back in this incarnation. */
    LEAVING(2),
    /** Silent for longer than a suspicion lasts; comes back if it refutes that. */
    DEAD(3);

    private final int code;

    MemberState(int code) {
        this.code = code;
    }

    /** The number that stands for it in a message. */
    public int code() {
        return code;
    }

    /** True while the member counts as there: alive or only suspected. */
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
