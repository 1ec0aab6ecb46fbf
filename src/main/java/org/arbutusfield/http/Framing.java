package org.arbutusfield.http;

/**
 * How the end of a message's body is found.
 *
 * @param end what ends the body
 * @param length length of the body in bytes; 0 unless a length ends it
 */
record Framing(BodyEnd end, long length) {
    /** The message ends with its head. */
    static final Framing NO_BODY = new Framing(BodyEnd.HEAD, 0);

    static final Framing CHUNKS = new Framing(BodyEnd.LAST_CHUNK, 0);
    static final Framing UNTIL_CLOSE = new Framing(BodyEnd.CLOSE, 0);

    /** What ends a body. */
    enum BodyEnd {
        HEAD,
        LENGTH,
        LAST_CHUNK,
        CLOSE
    }

    static Framing ofLength(long length) {
        return new Framing(BodyEnd.LENGTH, length);
    }
}
