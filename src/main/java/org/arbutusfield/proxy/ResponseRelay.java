package org.arbutusfield.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.Set;

/**
 * Relays one upstream response to the caller and counts the body bytes relayed.
 *
 * <p>The response to the caller has the upstream's content length if there is one. Otherwise it is chunked or, for an
 * HTTP/1.0 caller, delimited by closing the connection. An upstream response without a length ends when its connection
 * closes, and counts as complete only if the connection was closed cleanly.
 *
 * <p>Short parts that arrive together are written together: each write costs the same, however short it is.
 */
final class ResponseRelay {
    /** Parts below this are copied together. */
    private static final int SHORT_PART_BYTES = 1 << 10;

    private static final int JOINED_BYTES = 8 << 10;

    private final CallerRequest caller;
    private final HttpResponse response;
    private final boolean bodiless;
    private final Optional<Resumption> resumption;
    private long relayedBytes;
    /** Short parts that wait for the end of the batch; null if there are none. */
    private ByteBuf joined;

    private ResponseRelay(CallerRequest caller, RequestHead request, HttpResponse response) {
        this.caller = caller;
        this.response = response;
        int status = response.status().code();
        bodiless = request.method().equals("HEAD") || status == 204 || status == 304;
        resumption = request.method().equals("GET") && request.requestClass().repeatable()
                ? Resumption.of(response)
                : Optional.empty();
    }

    /** Writes the response head to the caller. */
    static ResponseRelay begin(CallerRequest caller, RequestHead request, HttpResponse response) {
        ResponseRelay relay = new ResponseRelay(caller, request, response);
        relay.writeHead(request);
        return relay;
    }

    int status() {
        return response.status().code();
    }

    /** Body bytes relayed. */
    long relayedBytes() {
        return relayedBytes;
    }

    /** Relays a part other than the last; returns false if the body exceeds the declared length. */
    boolean relayPart(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (relayedBytes + bytes > declaredBytes()) {
            content.release();
            return false;
        }
        relayedBytes += bytes;
        if (bodiless || bytes == 0) {
            content.release();
            return true;
        }
        if (bytes < SHORT_PART_BYTES) {
            join(content.content());
        } else {
            writeJoined();
            caller.writeBody(new DefaultHttpContent(content.content()), bytes);
        }
        return true;
    }

    /** Writes the parts that were joined; called when no more of the response is available for now. */
    void batchEnded() {
        writeJoined();
        caller.flush();
    }

    /** Releases what wasn't written. */
    void release() {
        ReferenceCountUtil.release(joined);
        joined = null;
    }

    /** Relays the last part; returns false if the length of the body differs from the declared one. */
    boolean relayLast(LastHttpContent last) {
        int bytes = last.content().readableBytes();
        boolean exact = declaredBytes() == Long.MAX_VALUE || relayedBytes + bytes == declaredBytes();
        if (!exact) {
            last.release();
            return false;
        }
        relayedBytes += bytes;
        writeJoined();
        caller.writeEnd(withoutTrailers(last), bytes);
        return true;
    }

    /**
     * How to request the missing bytes from another upstream; empty if none are missing or the response cannot be
     * resumed.
     */
    Optional<Resumption> remainder() {
        return resumption
                .map(resumption -> resumption.withReceived(relayedBytes))
                .filter(Resumption::incomplete);
    }

    /** Callers aren't told that trailers follow, and a trailer may be any field, also one that frames the message. */
    private static LastHttpContent withoutTrailers(LastHttpContent last) {
        return last.trailingHeaders().isEmpty() ? last : new DefaultLastHttpContent(last.content());
    }

    private void join(ByteBuf part) {
        if (joined != null && joined.writableBytes() < part.readableBytes()) {
            writeJoined();
        }
        if (joined == null) {
            joined = part.alloc().buffer(JOINED_BYTES, JOINED_BYTES);
        }
        joined.writeBytes(part);
        part.release();
    }

    private void writeJoined() {
        if (joined == null) {
            return;
        }
        ByteBuf parts = BufferCompaction.compact(joined);
        joined = null;
        caller.writeBody(new DefaultHttpContent(parts), parts.readableBytes());
    }

    private long declaredBytes() {
        return bodiless || !HttpUtil.isContentLengthSet(response)
                ? Long.MAX_VALUE
                : HttpUtil.getContentLength(response);
    }

    private void writeHead(RequestHead request) {
        HttpHeaders headers = ProxyHeaders.forwardedFields(response.headers(), Set.of());
        headers.set(ProxyHeaders.REQUEST_ID, request.requestId());
        boolean closeDelimited = false;
        if (!bodiless && !HttpUtil.isContentLengthSet(response)) {
            closeDelimited = caller.speaksHttp10();
            if (!closeDelimited) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        }
        caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers), closeDelimited);
    }
}
