package org.arbutusfield.wire;

import java.util.Optional;

/** Role of a message in an exchange between two peers. */
public enum EnvelopeKind {
    /** Expects no response. */
    ONE_WAY(0),
    /** Expects a response with the same correlation id. */
    REQUEST(1),
    /** Answers a request. */
    RESPONSE(2);

    private final int code;

    EnvelopeKind(int code) {
        this.code = code;
    }

    /** The number that encodes the kind in messages. */
    public int code() {
        return code;
    }

    /** The kind for a number, if there is one. */
    public static Optional<EnvelopeKind> of(int code) {
        for (EnvelopeKind kind : values()) {
            if (kind.code == code) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
