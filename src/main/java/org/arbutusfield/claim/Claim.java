package org.arbutusfield.claim;

/**
 * One claimed key.
 *
 * @param state what is known of the request
 * @param status the upstream's HTTP status when completed, else 0
 * @param holder host and incarnation that claimed it
 * @param sequence number of the claim within the holder
 * @param claimedAtSeconds when it was claimed, in seconds of the wall clock
 */
public record Claim(State state, int status, String holder, int sequence, long claimedAtSeconds) {

    /** What is known of the request that claimed a key. */
    public enum State {
        RUNNING(1),
        COMPLETED(2),
        UNKNOWN(3);

        private final byte code;

        State(int code) {
            this.code = (byte) code;
        }

        /** The state's number in stored claims. */
        byte code() {
            return code;
        }

        /** The state with the number; an unknown number is an {@link IllegalArgumentException}. */
        static State ofCode(byte code) {
            for (State state : values()) {
                if (state.code == code) {
                    return state;
                }
            }
            throw new IllegalArgumentException("no state " + code);
        }
    }
}
