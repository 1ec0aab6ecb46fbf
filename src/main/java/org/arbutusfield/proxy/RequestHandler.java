package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpContent;

/** Handles the current request of a caller's connection. Called on the connection's event loop. */
interface RequestHandler {
    /** Receives a part of the request's body, including the last one; the handler must release it. */
    void bodyPart(HttpContent part);

    /** Called when the caller's connection is closed; no response can be sent. */
    void callerGone();

    /** Called when the caller's connection becomes writable or stops being writable. */
    void writabilityChanged();

    /** Called when the connection's timer expires. */
    void expired();
}
