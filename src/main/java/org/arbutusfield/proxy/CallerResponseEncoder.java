package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses, and omits the body of a response to a HEAD request regardless of its header fields. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean headRequest;

    private CallerResponseEncoder() {}

    static CallerResponseEncoder create() {
        return new CallerResponseEncoder();
    }

    void setHeadRequest(boolean value) {
        headRequest = value;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse message) {
        return (headRequest && message.status().code() / 100 != 1) || super.isContentAlwaysEmpty(message);
    }
}
