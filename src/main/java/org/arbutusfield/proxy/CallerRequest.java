package org.arbutusfield.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpResponse;

/**
 * One request on a caller's connection, and the output for its response. Confined to the connection's event loop.
 *
 * <p>Problem: responses must be written in the order of the requests, but a caller may send further requests before the
 * first is answered, and a later one may be ready earlier.
 *
 * <p>Idea: the handler of a request writes as if the request were alone. Until its turn its writes are held, up to a
 * limit that stops the upstream from sending more; at its turn they are written, and later ones pass straight through.
 *
 * <p>Invariants: nothing is written before all earlier responses are complete. Each held message is written or released
 * once. A response that has to be cut before its turn resets the connection only at its turn, so that earlier responses
 * arrive whole.
 *
 * <p>Example: requests 1 and 2 are sent together. The response to 2 is complete first and is held. When the last byte
 * of response 1 has been written, response 2 is written at once.
 */
final class CallerRequest {
    private static final int MAX_HELD_BYTES = 64 << 10;
    /** Memory of the objects of one write, beside its bytes. */
    private static final int WRITE_OBJECT_BYTES = 256;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final CallerConnection connection;
    private final ProxyContext context;
    private final HttpRequest request;
    private final DeadlineTimer timer;
    private final Deque<HeldWrite> held = new ArrayDeque<>();
    private RequestHandler handler;
    private boolean inTurn;
    private boolean resetAtTurn;
    private boolean done;
    private boolean closes;
    private boolean continueSent;
    private long pendingBytes;
    private long writtenBytes;

    private CallerRequest(
            CallerConnection connection,
            ProxyContext context,
            HttpRequest request,
            Function<Runnable, DeadlineTimer> timers) {
        this.connection = connection;
        this.context = context;
        this.request = request;
        timer = timers.apply(() -> handler.expired());
    }

    /**
     * Creates a request.
     *
     * @param connection its connection
     * @param context context of the server
     * @param request head of the request
     * @param timers provides the timer of the request, given what runs when it expires
     */
    static CallerRequest of(
            CallerConnection connection,
            ProxyContext context,
            HttpRequest request,
            Function<Runnable, DeadlineTimer> timers) {
        return new CallerRequest(connection, context, request, timers);
    }

    EventLoop loop() {
        return connection.loop();
    }

    InetSocketAddress remoteAddress() {
        return connection.remoteAddress();
    }

    /** The timer of the request. */
    DeadlineTimer timer() {
        return timer;
    }

    /** True while an earlier response on the connection is not complete. */
    boolean awaitsTurn() {
        return !inTurn;
    }

    /**
     * False while the response has to wait, because this caller reads too slowly, the response buffers of the host are
     * full, or enough of the response is held until its turn.
     */
    boolean acceptsMore() {
        if (!inTurn) {
            return pendingBytes < MAX_HELD_BYTES && !context.responseBuffers().exhausted();
        }
        return channel().isWritable()
                && (pendingBytes == 0 || !context.responseBuffers().exhausted());
    }

    /** Body bytes written to the socket. */
    long writtenBytes() {
        return writtenBytes;
    }

    boolean speaksHttp10() {
        return request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    boolean isHeadRequest() {
        return request.method().equals(HttpMethod.HEAD);
    }

    /** True if the connection can't be used after the response. */
    boolean closes() {
        return closes;
    }

    // ---- called by the connection

    /** Sets the handler; called once, before anything else. */
    void startWith(RequestHandler requestHandler, boolean first) {
        handler = requestHandler;
        inTurn = first;
    }

    RequestHandler handler() {
        return handler;
    }

    /** True once the handler has finished the request. */
    boolean isDone() {
        return done;
    }

    /** Writes what was held; later writes go straight to the connection. */
    void takeTurn() {
        inTurn = true;
        if (resetAtTurn) {
            connection.reset();
            return;
        }
        while (!held.isEmpty()) {
            HeldWrite write = held.poll();
            if (write.callback().isPresent()) {
                afterWrites(write.callback().get());
            } else {
                send(write.message(), write.bytes());
            }
        }
        connection.flush();
        handler.writabilityChanged();
    }

    /** Ends the request because no response can be written any more. */
    void connectionLost() {
        if (!done) {
            handler.callerGone();
        }
        discardHeld();
    }

    // ---- called by the handler

    /** Requests the next part of the body; sends {@code 100 Continue} first if the caller waits for it. */
    void demandBody(boolean expectsContinue) {
        if (expectsContinue && !continueSent) {
            continueSent = true;
            connection.writeContinue();
        }
        connection.read();
    }

    void writeHead(HttpResponse head, boolean closeDelimited) {
        closes |= closeDelimited;
        write(head, 0);
    }

    void writeBody(DefaultHttpContent part, int bytes) {
        write(compactIfWaiting(part), bytes);
    }

    void writeEnd(LastHttpContent last, int bytes) {
        write(bytes > 0 ? compactIfWaiting(last) : last, bytes);
    }

    /** Returns a part that holds little more memory than its bytes, if it can't be written to the socket at once. */
    private HttpContent compactIfWaiting(HttpContent part) {
        boolean waits = !inTurn || pendingBytes > 0;
        return waits ? part.replace(BufferCompaction.compact(part.content())) : part;
    }

    /**
     * Writes a problem document; the connection is closed afterwards unless the request's body was received completely.
     */
    void writeProblem(Failure failure, String requestId, boolean bodyReceived) {
        closes |= !bodyReceived;
        Failure reported = RetryAfter.withDefault(failure);
        writeFullResponse(SimpleHttpResponse.problem(reported), requestId, Optional.of(reported));
    }

    /** Writes a complete response generated by this host. */
    void writeResponse(SimpleHttpResponse response, String requestId) {
        writeFullResponse(response, requestId, Optional.empty());
    }

    void flush() {
        if (inTurn) {
            connection.flush();
        }
    }

    /** Runs the callback when everything written so far has reached the socket or failed, with whether it succeeded. */
    void afterWrites(Consumer<Boolean> callback) {
        if (!inTurn) {
            held.add(new HeldWrite(Unpooled.EMPTY_BUFFER, 0, Optional.of(callback)));
            return;
        }
        channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> callback.accept(written.isSuccess()));
    }

    /**
     * Resets the connection, so that the caller cannot mistake a partial response for a complete one. Before its turn
     * the request only gives up its own response.
     */
    void reset() {
        if (inTurn) {
            connection.reset();
            return;
        }
        resetAtTurn = true;
        discardHeld();
    }

    /** Ends the request. */
    void exchangeDone(boolean reusable) {
        done = true;
        connection.requestDone(this, reusable);
    }

    // ---- internal

    private Channel channel() {
        return connection.channel();
    }

    private void write(Object message, int bytes) {
        if (resetAtTurn) {
            ReferenceCountUtil.release(message);
            return;
        }
        pendingBytes += memory(bytes);
        context.responseBuffers().add(memory(bytes));
        if (inTurn) {
            send(message, bytes);
        } else {
            held.add(new HeldWrite(message, bytes, Optional.empty()));
        }
    }

    private void send(Object message, int bytes) {
        if (message instanceof HttpResponse head) {
            connection.prepareHead(this, head);
        }
        if (bytes > 0) {
            channel().write(message).addListener(written -> bodyWritten(bytes));
        } else {
            channel().write(message, channel().voidPromise());
        }
    }

    private void bodyWritten(int bytes) {
        writtenBytes += bytes;
        boolean wasExhausted = context.responseBuffers().exhausted();
        released(bytes);
        if (wasExhausted && pendingBytes == 0 && !done) {
            handler.writabilityChanged();
        }
    }

    private void discardHeld() {
        for (HeldWrite write : held) {
            ReferenceCountUtil.release(write.message());
            released(write.bytes());
        }
        held.clear();
    }

    private void released(int bytes) {
        pendingBytes -= memory(bytes);
        context.responseBuffers().remove(memory(bytes));
    }

    /** Memory that a write holds until it has reached the socket; one without body bytes isn't counted. */
    private static int memory(int bytes) {
        return bytes > 0 ? bytes + WRITE_OBJECT_BYTES : 0;
    }

    private void writeFullResponse(SimpleHttpResponse response, String requestId, Optional<Failure> failure) {
        FullHttpResponse fullResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                isHeadRequest()
                        ? Unpooled.EMPTY_BUFFER
                        : Unpooled.wrappedBuffer(response.body().bytes()));
        response.headers().forEach(field -> fullResponse.headers().add(field.name(), field.value()));
        fullResponse.headers().set(ProxyHeaders.REQUEST_ID, requestId);
        fullResponse
                .headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.body().length());
        failure.ifPresent(reported -> addFailureFields(fullResponse, reported));
        write(fullResponse, 0);
    }

    private void addFailureFields(FullHttpResponse fullResponse, Failure failure) {
        fullResponse.headers().set(NotRunStatement.ERROR_CODE, failure.code().name());
        fullResponse.headers().set(ProxyHeaders.NOT_RUN, Boolean.toString(failure.notRun()));
        if (failure.code() == ErrorCode.KEY_UNKNOWN) {
            // RFC 9110 requires it in each response with status 401.
            fullResponse.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
        }
        if (context.components().headerNames().fractionalRetryAfter()) {
            failure.retryAfter().ifPresent(delay -> setFractionalRetryAfter(fullResponse, delay));
        }
    }

    /**
     * Replaces the {@code Retry-After} of the problem document, in whole seconds, by one with fractions, for callers
     * that accept those.
     */
    private static void setFractionalRetryAfter(FullHttpResponse fullResponse, Duration delay) {
        String seconds = String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND);
        fullResponse.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }

    /**
     * A write that waits for the turn of its request.
     *
     * @param message the message
     * @param bytes body bytes in the message
     * @param callback runs after the writes before it, in place of the message
     */
    private record HeldWrite(Object message, int bytes, Optional<Consumer<Boolean>> callback) {}
}
