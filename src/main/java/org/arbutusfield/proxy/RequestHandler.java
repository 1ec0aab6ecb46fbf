package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpContent;

/** Handles one request of a caller's connection. Called on the connection's event loop. */
interface RequestHandler {
    /** Ignores everything, for a request that has already been refused. */
    RequestHandler NONE = new RequestHandler() {
        @Override
        public void bodyPart(HttpContent part) {
            part.release();
        }

        @Override
        public void callerGone() {}

        @Override
        public void writabilityChanged() {}

        @Override
        public void expired() {}
    };

    /** Receives a part of the request's body, including the last one; the handler must release it. */
    void bodyPart(HttpContent part);

    /** Called when the caller's connection is closed; no response can be sent. */
    void callerGone();

    /** Called when the caller's connection becomes writable or stops being writable. */
    void writabilityChanged();

    /** Called when the connection's timer expires. */
    void expired();

    /** Called when the host starts to stop, after which the request may have less time. */
    default void hostStops() {}

    /** Called before the connection is closed because the host ends. */
    default void hostEnds() {}
}
