package org.arbutusfield.proxy.upstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Receives an upstream's response to one request. Called on the connection's event loop. */
public interface UpstreamResponseListener {
    /** Called with the head of the response; at most once. */
    void responseHead(HttpResponse head);

    /** Called with a part of the body, including the last one; the listener releases it. */
    void responseContent(HttpContent content);

    /** Called when no more data is available for now; a good time to flush. */
    void batchEnded();

    /** Called when the connection becomes writable or stops being writable. */
    void writabilityChanged();

    /**
     * Called when the connection was lost before the response was complete; no other method is called afterwards.
     *
     * @param cause reason for the loss
     * @param detail the malformed part of the response, for logs; empty if there is none
     */
    void lost(Loss cause, String detail);

    /** Why a response is incomplete. */
    enum Loss {
        /** The upstream closed or reset the connection. */
        CLOSED,
        /** The bytes received are not a valid HTTP response. */
        MALFORMED
    }
}
