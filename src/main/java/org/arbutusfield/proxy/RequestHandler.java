package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpContent;

/** What answers the request that a caller's connection carries now. Called on the connection's event loop. */
interface RequestHandler {
    /** A part of the request's body, the last one included, which is handed over. */
    void bodyPart(HttpContent part);

    /** The caller's connection is closed; nothing can be answered. */
    void callerGone();

    /** The caller's connection takes more, or no more for now. */
    void writabilityChanged();

    /** The limit set on the connection's watch has passed. */
    void expired();
}
