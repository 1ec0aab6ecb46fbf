package org.arbutusfield.proxy;

/** The processing stage of a request. */
enum Stage {
    /** A small body is being received; nothing has been claimed, placed or sent. */
    BODY,
    /** The idempotency key is being claimed. */
    CLAIM,
    /** A placement is being requested. */
    PLACE,
    /** A connection to the target is being acquired. */
    CONNECT,
    /** The request was sent at least in part. */
    SENT,
    /** The response is being relayed. */
    RESPONSE,
    /** The response is complete and is being written to the caller. */
    FLUSH,
    /** The request is finished. */
    DONE
}
