package org.arbutusfield.proxy;

/** How far a request has come. */
enum Stage {
    /** A small body is being received; nothing was asked of anyone. */
    BODY,
    /** The idempotency key is being claimed. */
    CLAIM,
    /** A place is being sought. */
    PLACE,
    /** A connection to the place is being opened. */
    CONNECT,
    /** The request, or part of it, was sent. */
    SENT,
    /** The answer is being passed on. */
    ANSWER,
    /** The answer is complete and on its way to the caller. */
    FLUSH,
    /** The request is over. */
    DONE
}
