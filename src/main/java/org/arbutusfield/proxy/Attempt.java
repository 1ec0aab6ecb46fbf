package org.arbutusfield.proxy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.upstream.ConnectionPool;
import org.arbutusfield.proxy.upstream.UpstreamConnection;
import org.arbutusfield.proxy.upstream.UpstreamResponseListener;

/**
 * One try of a request at one place: it takes a connection, sends the request, hands the answer to the exchange, and
 * releases the permit once. Confined to the exchange's event loop.
 */
final class Attempt implements UpstreamResponseListener {
    private static final int HOST_CONNECTIONS = 256;

    private final Exchange exchange;
    private final PlacementTarget placed;
    private final RequestHead head;
    private final RequestBody body;
    private final boolean freshOnly;
    private final HeaderNames names;
    private final Duration nonRepeatableReuseLimit;
    private ConnectionPool pool;
    private UpstreamConnection connection;
    private long sentNanos;
    private boolean pumping;
    private boolean bodyEnded;
    private boolean discarding;
    private boolean over;
    private boolean released;

    private Attempt(
            Exchange exchange,
            ProxyContext context,
            PlacementTarget placed,
            RequestHead head,
            RequestBody body,
            boolean freshOnly) {
        this.exchange = exchange;
        this.placed = placed;
        this.head = head;
        this.body = body;
        this.freshOnly = freshOnly;
        this.names = context.wiring().names();
        this.nonRepeatableReuseLimit = context.limits().nonRepeatableReuseLimit();
    }

    static Attempt of(
            Exchange exchange,
            ProxyContext context,
            PlacementTarget placed,
            RequestHead head,
            RequestBody body,
            boolean freshOnly) {
        return new Attempt(exchange, context, placed, head, body, freshOnly);
    }

    void start(ProxyContext context) {
        int limit = HOST_CONNECTIONS;
        InetSocketAddress address;
        if (placed instanceof PlacementTarget.UpstreamTarget at) {
            Upstream upstream = at.upstream();
            limit = context.connectionShare(upstream);
            address = new InetSocketAddress(upstream.host(), upstream.port());
        } else {
            address = ((PlacementTarget.HostTarget) placed).address();
        }
        pool = context.pools().pool(address);
        pool.acquire(exchange.loop(), limit, this::reusable, this::connected);
    }

    PlacementTarget placed() {
        return placed;
    }

    /** True once any byte of the request may have reached the place. */
    boolean sent() {
        return sentNanos != 0;
    }

    /** True when the whole request was sent. */
    boolean bodyEnded() {
        return bodyEnded;
    }

    /** True when the connection carried an answer before, so that its silence says nothing about the place. */
    boolean onReusedConnection() {
        return connection != null && connection.reused();
    }

    /** Monotonic time of the last sign of life, in nanoseconds. */
    long lastProgressNanos() {
        return Math.max(sentNanos, connection.lastReadNanos());
    }

    void reading(boolean wanted) {
        if (!over && connection != null) {
            connection.reading(wanted);
        }
    }

    /** Sends what the caller has delivered, as far as the connection takes it. */
    void pump() {
        if (over || bodyEnded || connection == null || pumping) {
            return;
        }
        pumping = true;
        while (body.hasUnsent() && connection.writable()) {
            connection.sendBody(body.next());
        }
        pumping = false;
        if (body.hasUnsent() || !connection.writable()) {
            return;
        }
        if (body.ended()) {
            bodyEnded = true;
            connection.endBody(LastHttpContent.EMPTY_LAST_CONTENT);
        } else {
            exchange.demandBody();
        }
    }

    /** Ends the try and closes its connection; later events are ignored. */
    void cancel(AttemptOutcome outcome) {
        over = true;
        release(outcome);
        if (connection != null) {
            connection.abandon();
        }
    }

    /** Ignores the rest of the answer, whose connection may be used again. */
    void discardRest(AttemptOutcome outcome) {
        discarding = true;
        over = true;
        release(outcome);
        connection.reading(true);
    }

    /** Closes this try's connection, which went silent, and idle ones that have shown no life since. */
    void closeSilent() {
        long since = lastProgressNanos();
        pool.closeIdle(other -> other.lastReadNanos() - since <= 0);
        cancel(onReusedConnection() ? AttemptOutcome.CANCELLED : AttemptOutcome.FAILED);
    }

    void release(AttemptOutcome outcome) {
        if (released) {
            return;
        }
        released = true;
        placed.permit().release(outcome, sent() ? System.nanoTime() - sentNanos : 0);
    }

    @Override
    public void answerHead(HttpResponse answer) {
        if (!over) {
            exchange.answerHead(this, answer);
        }
    }

    @Override
    public void answerContent(HttpContent content) {
        if (over || discarding) {
            content.release();
            return;
        }
        exchange.answerContent(this, content);
    }

    @Override
    public void batchEnded() {
        if (!over) {
            exchange.answerBatchEnded();
        }
    }

    @Override
    public void writabilityChanged() {
        pump();
    }

    @Override
    public void lost(Loss cause) {
        if (over) {
            return;
        }
        over = true;
        release(onReusedConnection() ? AttemptOutcome.CANCELLED : AttemptOutcome.FAILED);
        ErrorCode code = cause == Loss.MALFORMED ? ErrorCode.UPSTREAM_PROTOCOL : ErrorCode.UPSTREAM_LOST;
        exchange.answerLost(this, Failure.of(code, placed.name()));
    }

    private boolean reusable(UpstreamConnection idle) {
        if (freshOnly) {
            return false;
        }
        boolean recent = System.nanoTime() - idle.lastReadNanos() < nonRepeatableReuseLimit.toNanos();
        return head.requestClass().repeatable() || (idle.echoed() && recent);
    }

    private void connected(Either<Failure, UpstreamConnection> result) {
        if (over) {
            result.peek(UpstreamConnection::giveBack);
            return;
        }
        if (result.isLeft()) {
            over = true;
            boolean limit = result.getLeft().code() == ErrorCode.CONNECTION_LIMIT;
            release(limit ? AttemptOutcome.CANCELLED : AttemptOutcome.FAILED);
            exchange.attemptFailed(this, Failure.of(result.getLeft().code(), placed.name()), true);
            return;
        }
        connection = result.get();
        if (!connection.open()) {
            over = true;
            release(AttemptOutcome.CANCELLED);
            exchange.attemptFailed(this, Failure.of(ErrorCode.UPSTREAM_CONNECT, placed.name()), true);
            return;
        }
        send();
    }

    private void send() {
        sentNanos = System.nanoTime();
        exchange.sending(this);
        String target = placed instanceof PlacementTarget.HostTarget ? head.target() : head.upstreamTarget();
        HttpMethod method = HttpMethod.valueOf(head.method());
        HttpHeaders headers = onwardHeaders();
        HttpRequest request;
        if (head.hasBody()) {
            request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target, headers);
        } else {
            bodyEnded = true;
            request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, method, target, Unpooled.EMPTY_BUFFER, headers, EmptyHttpHeaders.INSTANCE);
        }
        connection.begin(request, this);
        pump();
    }

    private HttpHeaders onwardHeaders() {
        HttpHeaders headers = ProxyHeaders.onward(head.headers());
        headers.set(ProxyHeaders.REQUEST_ID, head.requestId());
        headers.set(names.deadlineMillis(), Long.toString(exchange.remaining().toMillis()));
        if (placed instanceof PlacementTarget.UpstreamTarget at) {
            names.expectedInstance()
                    .ifPresent(field -> headers.set(field, at.upstream().name()));
        }
        if (placed instanceof PlacementTarget.HostTarget) {
            headers.set(ProxyHeaders.HOP, Integer.toString(head.hops() + 1));
        }
        if (head.hasBody() && head.length().isEmpty()) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        exchange.resumption().ifPresent(range -> range.applyTo(headers));
        return headers;
    }
}
