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
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Upstream;
import org.arbutusfield.proxy.upstream.ConnectionPool;
import org.arbutusfield.proxy.upstream.MalformedPart;
import org.arbutusfield.proxy.upstream.UpstreamConnection;
import org.arbutusfield.proxy.upstream.UpstreamResponseListener;

/**
 * One attempt to run a request at one target: acquires a connection, sends the request, passes the response to the
 * exchange, and releases the permit exactly once. Confined to the exchange's event loop.
 */
final class Attempt implements UpstreamResponseListener {
    private static final int MAX_CONNECTIONS_PER_HOST = 256;
    /** A new connection costs less than reading more than this of a response that nobody gets. */
    private static final int MAX_DISCARDED_BYTES = 64 << 10;

    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

    private final Exchange exchange;
    private final PlacementTarget target;
    private final RequestHead head;
    private final RequestBody body;
    private final boolean newConnectionOnly;
    private final HeaderNames headerNames;
    private final Duration nonRepeatableReuseLimit;
    private ConnectionPool pool;
    private UpstreamConnection connection;
    /** Present once the request is being sent, if it has a body. */
    private Optional<BodySender> bodySender = Optional.empty();

    private BooleanSupplier bytesSent = () -> false;
    private long sentNanos;
    private boolean discarding;
    private int discardedBytes;
    private Future<?> discardTimeout;
    private boolean ended;
    private boolean released;

    private Attempt(
            Exchange exchange,
            ProxyContext context,
            PlacementTarget target,
            RequestHead head,
            RequestBody body,
            boolean newConnectionOnly) {
        this.exchange = exchange;
        this.target = target;
        this.head = head;
        this.body = body;
        this.newConnectionOnly = newConnectionOnly;
        this.headerNames = context.components().headerNames();
        this.nonRepeatableReuseLimit = context.limits().nonRepeatableReuseLimit();
    }

    static Attempt of(
            Exchange exchange,
            ProxyContext context,
            PlacementTarget target,
            RequestHead head,
            RequestBody body,
            boolean newConnectionOnly) {
        return new Attempt(exchange, context, target, head, body, newConnectionOnly);
    }

    void start(ProxyContext context) {
        int limit = MAX_CONNECTIONS_PER_HOST;
        if (target instanceof PlacementTarget.UpstreamTarget upstreamTarget) {
            Upstream upstream = upstreamTarget.upstream();
            limit = context.connectionShare(upstream);
            pool = context.pools().pool(new InetSocketAddress(upstream.host(), upstream.port()));
        } else {
            pool = context.poolToHost(((PlacementTarget.HostTarget) target).address());
        }
        pool.acquire(exchange.loop(), limit, this::reusable, this::connected);
    }

    PlacementTarget target() {
        return target;
    }

    /** True once any byte of the request may have reached the target. */
    boolean sent() {
        return bytesSent.getAsBoolean();
    }

    /** Time since the request was sent. */
    Duration timeSinceSent() {
        return Duration.ofNanos(System.nanoTime() - sentNanos);
    }

    /**
     * True if the connection carried an earlier response. A missing response on such a connection does not count
     * against the target.
     */
    boolean onReusedConnection() {
        return connection != null && connection.reused();
    }

    /**
     * Monotonic time at which the request was sent or the last byte was received, whichever is later, in nanoseconds.
     */
    long lastProgressNanos() {
        return Math.max(sentNanos, connection.lastReadNanos());
    }

    void setReading(boolean wanted) {
        if (!ended && connection != null) {
            connection.setReading(this, wanted);
        }
    }

    /** Called when a part of the body was received. */
    void bodyReceived() {
        if (!ended) {
            bodySender.ifPresent(BodySender::received);
        }
    }

    /** Ends the attempt and closes its connection; later events are ignored. */
    void cancel(AttemptOutcome outcome) {
        ended = true;
        release(outcome);
        if (connection != null) {
            connection.abandon(this);
        }
    }

    /**
     * Discards the rest of the response, after which the connection can be reused. A rest that is long or late is not
     * worth waiting for, and the connection is closed.
     */
    private void discardRest(AttemptOutcome outcome) {
        discarding = true;
        ended = true;
        release(outcome);
        connection.setReading(this, true);
        discardTimeout = exchange.loop()
                .schedule(() -> connection.abandon(this), DISCARD_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void discard(HttpContent content) {
        discardedBytes += content.content().readableBytes();
        boolean complete = content instanceof LastHttpContent;
        content.release();
        if (complete) {
            discardTimeout.cancel(false);
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            discardTimeout.cancel(false);
            connection.abandon(this);
        }
    }

    /**
     * Closes this attempt's unresponsive connection, and the idle connections to the same address that have received
     * nothing since this one's last progress.
     */
    void closeSilentConnections() {
        long since = lastProgressNanos();
        pool.closeIdle(idle -> idle.lastReadNanos() - since <= 0);
        cancel(onReusedConnection() ? AttemptOutcome.CANCELLED : AttemptOutcome.FAILED);
    }

    /**
     * Returns how many turns it takes until this request is served, if its target serves those first that this host has
     * there already, as many at a time as the target has slots; at least 1.
     */
    int turnsAtTarget() {
        if (!(target instanceof PlacementTarget.UpstreamTarget upstreamTarget)) {
            return 1;
        }
        int slots = Math.max(1, upstreamTarget.upstream().slots());
        return Math.max(1, (pool.inUse() + slots - 1) / slots);
    }

    /**
     * Ends the attempt because the time of the request is over; that says nothing of the upstream if the host stops.
     */
    void timedOut(boolean hostStops) {
        if (hostStops) {
            cancel(AttemptOutcome.CANCELLED);
        } else if (onReusedConnection()) {
            closeSilentConnections();
        } else {
            cancel(AttemptOutcome.FAILED);
        }
    }

    /** Finds out whether the upstream, to which the connection was lost, has ended; see {@link ConnectionPool}. */
    void checkUpstreamEnded(Consumer<Boolean> callback) {
        pool.checkEnded(exchange.loop(), callback);
    }

    /**
     * Ends the attempt, because the target stated that it did not run the request. A faulty target may write the
     * statement once more on the connection; only a request id tells it from that of a later request.
     *
     * @param failure what the target stated
     * @param namesRequest whether the statement has the id of the request
     */
    void refused(Failure failure, boolean namesRequest) {
        if (!namesRequest) {
            connection.closeAfterResponse();
        }
        target.permit().refused(failure);
        discardRest(AttemptOutcome.SHED);
    }

    /**
     * Returns the failure of an attempt that got no response: the one given, or that the upstream can't be reached if
     * no byte of the request was sent.
     */
    Failure failure(ErrorCode code, String detail) {
        return Failure.of(sent() ? code : ErrorCode.UPSTREAM_CONNECT, target.name(), detail);
    }

    void release(AttemptOutcome outcome) {
        if (released) {
            return;
        }
        released = true;
        target.permit().release(outcome, sent() ? System.nanoTime() - sentNanos : 0);
    }

    @Override
    public void responseHead(HttpResponse response) {
        if (!ended) {
            if (!onReusedConnection()) {
                target.permit().reached();
            }
            boolean related = ResponseCheck.isRelated(response, head);
            UpstreamNoticeReader.read(response, target, related, headerNames).forEach(this::noticed);
            exchange.responseHead(this, response);
        }
    }

    @Override
    public void responseContent(HttpContent content) {
        if (discarding) {
            discard(content);
            return;
        }
        if (ended) {
            content.release();
            return;
        }
        exchange.responseContent(this, content);
    }

    @Override
    public void batchEnded() {
        if (!ended) {
            exchange.responseBatchEnded();
        }
    }

    @Override
    public void writabilityChanged() {
        if (!ended) {
            bodySender.ifPresent(BodySender::send);
        }
    }

    @Override
    public void lost(Optional<MalformedPart> malformed) {
        if (discarding) {
            discardTimeout.cancel(false);
        }
        if (ended) {
            return;
        }
        ended = true;
        boolean nothingReceived = connection.lastReadNanos() - sentNanos <= 0;
        if (nothingReceived && !onReusedConnection()) {
            target.permit().unreachable();
        }
        release(onReusedConnection() ? AttemptOutcome.CANCELLED : AttemptOutcome.FAILED);
        Failure failure = malformed
                .map(part -> failure(ErrorCode.UPSTREAM_PROTOCOL, part.name()))
                .orElseGet(() -> failure(ErrorCode.UPSTREAM_LOST, ""));
        exchange.responseLost(this, failure);
    }

    private void noticed(UpstreamNotice notice) {
        target.permit().noticed(notice);
        if (notice instanceof UpstreamNotice.Leaving) {
            connection.closeAfterResponse();
            pool.closeIdle(idle -> true);
        }
    }

    private boolean reusable(UpstreamConnection idle) {
        if (newConnectionOnly) {
            return false;
        }
        boolean recent = System.nanoTime() - idle.lastReadNanos() < nonRepeatableReuseLimit.toNanos();
        return head.requestClass().repeatable() || (idle.requestIdEchoed() && recent);
    }

    private void connected(Either<Failure, UpstreamConnection> result) {
        if (ended) {
            result.peek(UpstreamConnection::release);
            return;
        }
        if (result.isLeft()) {
            connectFailed(result.getLeft().code());
            return;
        }
        Optional<Failure> refusal = exchange.refusalToSend(this);
        if (refusal.isPresent()) {
            ended = true;
            release(AttemptOutcome.CANCELLED);
            result.get().release();
            exchange.refused(refusal.get());
            return;
        }
        Optional<Failure> expired = target.permit().refusalToSend();
        if (expired.isPresent()) {
            ended = true;
            release(AttemptOutcome.CANCELLED);
            result.get().release();
            exchange.attemptFailed(this, expired.get());
            return;
        }
        connection = result.get();
        if (!connection.open()) {
            ended = true;
            release(AttemptOutcome.CANCELLED);
            exchange.attemptFailed(this, Failure.of(ErrorCode.UPSTREAM_CONNECT, target.name()));
            return;
        }
        send();
    }

    private void connectFailed(ErrorCode code) {
        ended = true;
        boolean limit = code == ErrorCode.CONNECTION_LIMIT;
        if (!limit) {
            target.permit().unreachable();
        }
        release(limit ? AttemptOutcome.CANCELLED : AttemptOutcome.FAILED);
        exchange.attemptFailed(this, Failure.of(code, target.name()));
    }

    private void send() {
        sentNanos = System.nanoTime();
        exchange.requestSending(this);
        String requestTarget = target instanceof PlacementTarget.HostTarget ? head.target() : head.upstreamTarget();
        HttpMethod method = HttpMethod.valueOf(head.method());
        HttpHeaders headers = forwardedHeaders();
        HttpRequest request;
        if (head.hasBody()) {
            request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, requestTarget, headers);
        } else {
            request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    method,
                    requestTarget,
                    Unpooled.EMPTY_BUFFER,
                    headers,
                    EmptyHttpHeaders.INSTANCE);
        }
        bytesSent = connection.begin(request, this);
        if (head.hasBody()) {
            BodySender sender = BodySender.of(body, connection, exchange.loop(), exchange::demandBody, () -> !ended);
            bodySender = Optional.of(sender);
            sender.send();
        }
    }

    private HttpHeaders forwardedHeaders() {
        RequestTeam team = exchange.team();
        HttpHeaders headers = ProxyHeaders.forwardedFields(head.headers(), team.withheldFields(target));
        team.addTo(headers, target);
        headers.set(ProxyHeaders.REQUEST_ID, head.requestId());
        headers.set(
                headerNames.deadlineMillis(), Long.toString(exchange.remaining().toMillis()));
        if (target instanceof PlacementTarget.UpstreamTarget upstreamTarget) {
            headerNames
                    .expectedInstance()
                    .ifPresent(field ->
                            headers.set(field, upstreamTarget.upstream().name()));
        }
        if (target instanceof PlacementTarget.HostTarget) {
            headers.set(ProxyHeaders.HOP, Integer.toString(head.hops() + 1));
        }
        if (head.hasBody() && head.length().isEmpty()) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        exchange.resumption().ifPresent(resumption -> resumption.applyTo(headers));
        return headers;
    }
}
