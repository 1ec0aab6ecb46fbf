package org.arbutusfield.proxy;

import io.netty.handler.codec.http.HttpResponse;

/** Checks whether the head of a response may be relayed to the caller of a request. */
final class ResponseCheck {
    private static final int SUCCESS_CLASS = 2;
    private static final int SWITCHING_PROTOCOLS = 101;

    private ResponseCheck() {}

    /** False if the response names another request, or leaves the protocol. */
    static boolean isRelated(HttpResponse response, RequestHead request) {
        String responseId = response.headers().get(ProxyHeaders.REQUEST_ID);
        boolean sameRequest = responseId == null || responseId.equals(request.requestId());
        return sameRequest && response.status().code() != SWITCHING_PROTOCOLS;
    }

    /** True unless a 2xx response lacks the proof field that upstreams must send. */
    static boolean hasProof(HttpResponse response, HeaderNames names) {
        return response.status().code() / 100 != SUCCESS_CLASS
                || names.responseProof().map(response.headers()::contains).orElse(true);
    }
}
