package org.arbutusfield.http;

/** Why bytes that were received are not a message of HTTP/1 (RFC 9112). */
public enum MessageFault {
    /** The first line is neither a status line nor a request line, whichever is due. */
    START_LINE,
    /** Another line of the head isn't a field. */
    FIELD_LINE,
    /** The length of the body isn't one number. */
    CONTENT_LENGTH,
    /** The body is in a transfer coding other than chunks, or in one that may not be there. */
    TRANSFER_ENCODING,
    /** A chunk has no valid size, or doesn't end where its size says. */
    CHUNK
}
