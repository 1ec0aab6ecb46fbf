package org.arbutusfield.proxy.upstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Gets what an upstream sends in answer to one request. Called on the connection's event loop. */
public interface UpstreamResponseListener {
    /** The head of the answer; called at most once. */
    void answerHead(HttpResponse head);

    /** A part of the body, the last one included; the receiver releases it. */
    void answerContent(HttpContent content);

    /** For now nothing more was received; a good moment to flush. */
    void batchEnded();

    /** The connection takes more of the request's body, or takes no more for now. */
    void writabilityChanged();

    /**
     * The exchange ended before the answer was whole; nothing is called afterwards.
     *
     * @param cause what was seen
     */
    void lost(Loss cause);

    /** Why an answer did not become whole. */
    enum Loss {
        /** The upstream closed or reset the connection. */
        CLOSED,
        /** The bytes received are no HTTP answer. */
        MALFORMED
    }
}
