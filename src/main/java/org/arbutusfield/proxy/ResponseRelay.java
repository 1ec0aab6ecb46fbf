package org.arbutusfield.proxy;

import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Passes one upstream answer to the caller and knows how much of it was passed.
 *
 * <p>The caller's answer has the upstream's length where it has one, else it is chunked, or ends with the connection
 * for a caller that speaks HTTP/1.0. An upstream answer without length ends with its connection, and counts as whole
 * only if that was closed in order.
 */
final class ResponseRelay {
    private final CallerConnection caller;
    private final HttpResponse answer;
    private final boolean bodiless;
    private final Optional<Resumption> resumable;
    private long passed;

    private ResponseRelay(CallerConnection caller, RequestHead request, HttpResponse answer) {
        this.caller = caller;
        this.answer = answer;
        int status = answer.status().code();
        bodiless = request.method().equals("HEAD") || status == 204 || status == 304;
        resumable = request.method().equals("GET") && request.requestClass().repeatable()
                ? Resumption.of(answer)
                : Optional.empty();
    }

    /** Writes the head to the caller. */
    static ResponseRelay begin(CallerConnection caller, RequestHead request, HttpResponse answer) {
        ResponseRelay relay = new ResponseRelay(caller, request, answer);
        relay.writeHead(request);
        return relay;
    }

    int status() {
        return answer.status().code();
    }

    /** Body bytes passed. */
    long passed() {
        return passed;
    }

    /** Passes a part that is not the end; false if more than the announced length has come. */
    boolean pass(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (passed + bytes > announced()) {
            content.release();
            return false;
        }
        passed += bytes;
        if (bodiless || bytes == 0) {
            content.release();
            return true;
        }
        caller.writeBody(new DefaultHttpContent(content.content()), bytes);
        return true;
    }

    /** Passes the end; false if another length than the announced one has come. */
    boolean passLast(LastHttpContent last) {
        int bytes = last.content().readableBytes();
        boolean exact = announced() == Long.MAX_VALUE || passed + bytes == announced();
        if (!exact) {
            last.release();
            return false;
        }
        passed += bytes;
        caller.writeEnd(last, bytes);
        return true;
    }

    /** How the rest can be had elsewhere, if anything is missing and it can. */
    Optional<Resumption> rest() {
        return resumable.map(range -> range.at(passed)).filter(Resumption::incomplete);
    }

    private long announced() {
        return bodiless || !HttpUtil.isContentLengthSet(answer) ? Long.MAX_VALUE : HttpUtil.getContentLength(answer);
    }

    private void writeHead(RequestHead request) {
        HttpHeaders headers = ProxyHeaders.onward(answer.headers());
        headers.set(ProxyHeaders.REQUEST_ID, request.requestId());
        boolean closeDelimited = false;
        if (!bodiless && !HttpUtil.isContentLengthSet(answer)) {
            closeDelimited = caller.speaksHttp10();
            if (!closeDelimited) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        }
        caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers), closeDelimited);
    }
}
