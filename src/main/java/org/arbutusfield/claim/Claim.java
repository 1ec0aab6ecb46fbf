package org.arbutusfield.claim;

/**
 * A claim of an idempotency key.
 *
 * @param state what is known about the request
 * @param status the upstream's HTTP status if completed, else 0
 * @param holder host and incarnation that made the claim
 * @param sequence number of the claim within the holder
 * @param claimedAtSeconds when the claim was made, in seconds of the wall clock
 */
public record Claim(State state, int status, String holder, int sequence, long claimedAtSeconds) {

    /** What is known about the request that claimed a key. */
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

        /** Returns the state with the number; throws {@link IllegalArgumentException} if the number is unknown. */
        static State ofCode(byte code) {
            for (State state : values()) {
                if (state.code == code) {
                    return state;
                }
            }
            throw new IllegalArgumentException("unknown claim state " + code);
        }
    }
}
