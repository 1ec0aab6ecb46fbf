package org.arbutusfield.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpResponse;

/**
 * One connection from a caller: reads one message at a time on demand, handles at most one request at a time, writes
 * responses, and closes without truncating a response. Confined to its event loop.
 *
 * <p>Connections are closed with a lingering close: the output is shut down first, and input is read and discarded
 * until the caller closes as well or a timeout passes. A plain close with unread input would reset the connection and
 * could destroy the last bytes of the response in transit. A request that arrives meanwhile is neither answered nor
 * run.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final String LOCAL_PREFIX = "/-/";
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final ProxyContext context;
    private final StrictRequestDecoder decoder;
    private final CallerResponseEncoder encoder;
    private Channel channel;
    private ChannelHandlerContext ctx;
    private DeadlineTimer exchangeTimer;
    private DeadlineTimer idleTimer;
    private RequestHandler current;
    private HttpRequest request;
    private HttpRequest pipelined;
    private boolean continueSent;
    private boolean closeAfterResponse;
    private boolean draining;
    private boolean lingering;
    private boolean dispatching;
    private boolean readRequested;
    private long pendingBytes;
    private long writtenBytes;

    private CallerConnection(ProxyContext context, CallerResponseEncoder encoder) {
        this.context = context;
        this.encoder = encoder;
        decoder = StrictRequestDecoder.create(context.limits().headBytes(), this::headStarted);
    }

    static CallerConnection of(ProxyContext context, CallerResponseEncoder encoder) {
        return new CallerConnection(context, encoder);
    }

    StrictRequestDecoder decoder() {
        return decoder;
    }

    EventLoop loop() {
        return channel.eventLoop();
    }

    InetSocketAddress remoteAddress() {
        return (InetSocketAddress) channel.remoteAddress();
    }

    /** The timer of the current request. */
    DeadlineTimer timer() {
        return exchangeTimer;
    }

    /**
     * False while the response has to wait, because this caller reads too slowly or the response buffers of the host
     * are full.
     */
    boolean acceptsMore() {
        return channel.isWritable()
                && (pendingBytes == 0 || !context.responseBuffers().exhausted());
    }

    /** Body bytes written to the socket. */
    long writtenBytes() {
        return writtenBytes;
    }

    boolean speaksHttp10() {
        return request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    // ---- reading

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        ctx = handlerContext;
        channel = handlerContext.channel();
        exchangeTimer = DeadlineTimer.create(loop(), () -> {
            if (current != null) {
                current.expired();
            }
        });
        idleTimer = DeadlineTimer.create(loop(), this::idleExpired);
    }

    @Override
    public void channelActive(ChannelHandlerContext unused) {
        if (context.callerConnections().incrementAndGet() > context.limits().callerConnections()) {
            refuseAndClose(Failure.of(ErrorCode.CONNECTION_LIMIT));
            return;
        }
        idleTimer.set(System.nanoTime() + context.limits().headTimeout().toNanos());
        read();
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        boolean outermost = !dispatching;
        dispatching = true;
        dispatch(message);
        if (outermost) {
            dispatching = false;
            readWhileRequested();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext unused) {
        if (current != null) {
            current.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        context.callerConnections().decrementAndGet();
        exchangeTimer.close();
        idleTimer.close();
        if (current != null) {
            current.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        if (!(cause instanceof DecoderException)) {
            channel.close();
        } else if (current == null && !lingering) {
            refuseAndClose(Failure.of(ErrorCode.REQUEST_MALFORMED, "head"));
        } else {
            closeAfterResponse = true;
        }
    }

    /** Requests the next part of the body; sends {@code 100 Continue} first if the caller waits for it. */
    void demandBody(boolean expectsContinue) {
        if (expectsContinue && !continueSent) {
            continueSent = true;
            encoder.setHeadRequest(false);
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                    channel.voidPromise());
        }
        read();
    }

    /** Closes the connection immediately. */
    void close() {
        channel.close();
    }

    /** Closes the connection once no request is in progress; a request in progress is answered first. */
    void drain() {
        draining = true;
        if (current == null && !decoder.receivingHead()) {
            linger();
        }
    }

    // ---- writing

    void writeHead(HttpResponse head, boolean closeDelimited) {
        closeAfterResponse |= closeDelimited || closing();
        encoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
        if (closeAfterResponse) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (speaksHttp10()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
        channel.write(head, channel.voidPromise());
    }

    void writeBody(DefaultHttpContent part, int bytes) {
        pendingBytes += bytes;
        context.responseBuffers().add(bytes);
        channel.write(part).addListener(done -> bodyWritten(bytes));
    }

    void writeEnd(LastHttpContent last, int bytes) {
        if (bytes > 0) {
            pendingBytes += bytes;
            context.responseBuffers().add(bytes);
            channel.write(last).addListener(done -> bodyWritten(bytes));
        } else {
            channel.write(last, channel.voidPromise());
        }
    }

    /**
     * Writes a problem document; the connection is closed afterwards unless the request's body was received completely.
     */
    void writeProblem(Failure failure, String requestId, boolean bodyReceived) {
        closeAfterResponse |= !bodyReceived;
        writeFullResponse(SimpleHttpResponse.problem(failure), requestId, Optional.of(failure));
    }

    /** Writes a complete response generated by this host. */
    void writeResponse(SimpleHttpResponse response, String requestId) {
        writeFullResponse(response, requestId, Optional.empty());
    }

    void flush() {
        channel.flush();
    }

    /** Runs the callback when everything written so far has reached the socket or failed, with whether it succeeded. */
    void afterWrites(Consumer<Boolean> callback) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> callback.accept(done.isSuccess()));
    }

    /** Resets the connection, so that the caller cannot mistake a partial response for a complete one. */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Ends the current request; the connection then waits for the next one or is closed. */
    void exchangeDone(boolean reusable) {
        current = null;
        context.inFlight().decrementAndGet();
        if (!channel.isActive()) {
            return;
        }
        if (!reusable || closeAfterResponse || draining) {
            linger();
            return;
        }
        Duration limit = decoder.receivingHead()
                ? context.limits().headTimeout()
                : context.limits().idleTimeout();
        idleTimer.set(System.nanoTime() + limit.toNanos());
        if (pipelined != null) {
            HttpRequest next = pipelined;
            pipelined = null;
            begin(next);
        } else {
            read();
        }
    }

    // ---- internal

    private void dispatch(Object message) {
        if (message instanceof HttpRequest head && !lingering) {
            if (current == null) {
                begin(head);
            } else {
                pipelined = head;
            }
        } else if (message instanceof HttpContent part && !lingering && current != null) {
            boolean last = part instanceof LastHttpContent;
            current.bodyPart(part);
            if (last) {
                read();
            }
        } else {
            ReferenceCountUtil.release(message);
            read();
        }
    }

    private void read() {
        readRequested = true;
        if (!dispatching) {
            readWhileRequested();
        }
    }

    private void readWhileRequested() {
        dispatching = true;
        while (readRequested && channel.isActive()) {
            readRequested = false;
            ctx.read();
        }
        dispatching = false;
    }

    private void begin(HttpRequest head) {
        request = head;
        continueSent = false;
        closeAfterResponse |= !HttpUtil.isKeepAlive(head);
        idleTimer.clear();
        if (head.decoderResult().isFailure()) {
            refuseAndClose(decodingFailure(head.decoderResult().cause()));
            return;
        }
        Optional<Failure> fault = RequestHead.validate(head, context.limits());
        if (fault.isPresent()) {
            refuseAndClose(fault.get());
            return;
        }
        String id = ProxyHeaders.requestId(head.headers());
        if (head.uri().startsWith(LOCAL_PREFIX)) {
            startHandling(LocalExchange.of(this, context, head, id)).start();
            return;
        }
        Either<Failure, RequestHead> read = context.components()
                .router()
                .route(head, id)
                .flatMap(route ->
                        RequestHead.parse(head, id, route, context.components().headerNames()));
        if (read.isLeft()) {
            refuseAndKeepOpen(read.getLeft(), id);
            return;
        }
        startHandling(Exchange.of(this, context, read.get(), System.nanoTime())).start();
    }

    private <T extends RequestHandler> T startHandling(T handler) {
        current = handler;
        context.inFlight().incrementAndGet();
        return handler;
    }

    private void refuseAndKeepOpen(Failure failure, String id) {
        boolean body = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
        if (body) {
            refuseAndClose(failure);
            return;
        }
        context.components().observer().refused(id, failure);
        startHandling(LocalExchange.refusing(this, context, request, id, failure))
                .start();
    }

    private static Failure decodingFailure(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException;
        return Failure.of(tooLong ? ErrorCode.REQUEST_HEAD_TOO_LARGE : ErrorCode.REQUEST_MALFORMED, "head");
    }

    private void refuseAndClose(Failure failure) {
        closeAfterResponse = true;
        lingering = true;
        idleTimer.set(System.nanoTime() + context.limits().lingerTimeout().toNanos());
        String id = request == null ? ProxyHeaders.newRequestId() : ProxyHeaders.requestId(request.headers());
        context.components().observer().refused(id, failure);
        writeFullResponse(SimpleHttpResponse.problem(failure), id, Optional.of(failure));
        afterWrites(written -> linger());
    }

    private void writeFullResponse(SimpleHttpResponse response, String requestId, Optional<Failure> failure) {
        boolean head = request != null && request.method().equals(HttpMethod.HEAD);
        FullHttpResponse fullResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                head
                        ? Unpooled.EMPTY_BUFFER
                        : Unpooled.wrappedBuffer(response.body().bytes()));
        response.headers().forEach(field -> fullResponse.headers().add(field.name(), field.value()));
        fullResponse.headers().set(ProxyHeaders.REQUEST_ID, requestId);
        fullResponse
                .headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.body().length());
        failure.ifPresent(reported -> {
            fullResponse
                    .headers()
                    .set(NotRunStatement.ERROR_CODE, reported.code().name());
            fullResponse.headers().set(ProxyHeaders.NOT_RUN, Boolean.toString(reported.notRun()));
            if (context.components().headerNames().fractionalRetryAfter()) {
                reported.retryAfter().ifPresent(delay -> setFractionalRetryAfter(fullResponse, delay));
            }
        });
        closeAfterResponse |= closing();
        if (closeAfterResponse) {
            fullResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        encoder.setHeadRequest(head);
        channel.write(fullResponse, channel.voidPromise());
    }

    /**
     * Replaces the {@code Retry-After} of the problem document, in whole seconds, by one with fractions, for callers
     * that accept those.
     */
    private void setFractionalRetryAfter(FullHttpResponse fullResponse, Duration delay) {
        String seconds = String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND);
        fullResponse.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }

    private void bodyWritten(int bytes) {
        pendingBytes -= bytes;
        writtenBytes += bytes;
        boolean wasExhausted = context.responseBuffers().exhausted();
        context.responseBuffers().remove(bytes);
        if (wasExhausted && pendingBytes == 0 && current != null) {
            current.writabilityChanged();
        }
    }

    private boolean closing() {
        return draining || context.leaving();
    }

    private void headStarted() {
        if (current == null && !lingering) {
            idleTimer.set(System.nanoTime() + context.limits().headTimeout().toNanos());
        }
    }

    private void idleExpired() {
        if (lingering) {
            channel.close();
        } else if (current == null && decoder.receivingHead()) {
            refuseAndClose(Failure.of(ErrorCode.REQUEST_TIMEOUT, "head"));
        } else if (current == null) {
            linger();
        }
    }

    private void linger() {
        lingering = true;
        if (!channel.isActive()) {
            return;
        }
        idleTimer.set(System.nanoTime() + context.limits().lingerTimeout().toNanos());
        if (channel.pipeline().context(decoder) != null) {
            channel.pipeline().remove(decoder);
        }
        ((SocketChannel) channel).shutdownOutput();
        read();
    }
}
