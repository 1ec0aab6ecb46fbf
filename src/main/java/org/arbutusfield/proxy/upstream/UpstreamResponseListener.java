package org.arbutusfield.proxy.upstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

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
     * @param malformed the part for which the bytes received are not a valid response; empty if the connection was
     *     closed or reset
     */
    void lost(Optional<MalformedPart> malformed);
}
