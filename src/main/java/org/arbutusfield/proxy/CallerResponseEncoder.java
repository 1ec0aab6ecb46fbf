package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes answers and knows whether the request was HEAD, whose answer has no body whatever its head says. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean headRequest;

    private CallerResponseEncoder() {}

    static CallerResponseEncoder create() {
        return new CallerResponseEncoder();
    }

    void answersHeadRequest(boolean head) {
        headRequest = head;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse message) {
        return (headRequest && message.status().code() / 100 != 1) || super.isContentAlwaysEmpty(message);
    }
}
