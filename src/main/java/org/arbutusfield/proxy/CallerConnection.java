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
 * One connection from a caller: reads one message at a time on demand, keeps at most one exchange going, writes
 * answers, and closes without cutting one. Confined to its event loop.
 *
 * <p>Closing is done by ending the output first and reading on, unheeded, until the caller closes too or a time limit
 * passes; a plain close with unread input would reset the connection and could destroy the answer's last bytes on their
 * way. A request that arrives in that time is neither answered nor run.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final String LOCAL_PREFIX = "/-/";
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final ProxyContext context;
    private final StrictRequestDecoder decoder;
    private final CallerResponseEncoder encoder;
    private Channel channel;
    private ChannelHandlerContext ctx;
    private DeadlineTimer exchangeWatch;
    private DeadlineTimer idleWatch;
    private RequestHandler current;
    private HttpRequest request;
    private HttpRequest pipelined;
    private boolean continueSent;
    private boolean closeAfter;
    private boolean draining;
    private boolean lingering;
    private boolean dispatching;
    private boolean wanted;
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

    /** The time limit of the current exchange. */
    DeadlineTimer watch() {
        return exchangeWatch;
    }

    /** False while the answer has to wait for the caller, or for other callers. */
    boolean takesMore() {
        return channel.isWritable() && (pendingBytes == 0 || !context.pending().exhausted());
    }

    /** Body bytes that the transport has taken. */
    long written() {
        return writtenBytes;
    }

    boolean speaksHttp10() {
        return request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    // ---- reading

    @Override
    public void handlerAdded(ChannelHandlerContext own) {
        ctx = own;
        channel = own.channel();
        exchangeWatch = DeadlineTimer.on(loop(), () -> {
            if (current != null) {
                current.expired();
            }
        });
        idleWatch = DeadlineTimer.on(loop(), this::idleExpired);
    }

    @Override
    public void channelActive(ChannelHandlerContext unused) {
        if (context.connections().incrementAndGet() > context.limits().callerConnections()) {
            refuse(Failure.of(ErrorCode.CONNECTION_LIMIT));
            return;
        }
        idleWatch.until(System.nanoTime() + context.limits().headTimeout().toNanos());
        read();
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        boolean outermost = !dispatching;
        dispatching = true;
        dispatch(message);
        if (outermost) {
            dispatching = false;
            readWhileWanted();
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
        context.connections().decrementAndGet();
        exchangeWatch.close();
        idleWatch.close();
        if (current != null) {
            current.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        if (!(cause instanceof DecoderException)) {
            channel.close();
        } else if (current == null && !lingering) {
            refuse(Failure.of(ErrorCode.REQUEST_MALFORMED, "head"));
        } else {
            closeAfter = true;
        }
    }

    /** Asks for the next part of the body; first lets the caller send it, if it waits for that. */
    void demandBody(boolean expectsContinue) {
        if (expectsContinue && !continueSent) {
            continueSent = true;
            encoder.answersHeadRequest(false);
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                    channel.voidPromise());
        }
        read();
    }

    /** Closes at once. */
    void close() {
        channel.close();
    }

    /** Closes when no request is going on; a request that is going on is answered first. */
    void drain() {
        draining = true;
        if (current == null && !decoder.midHead()) {
            linger();
        }
    }

    // ---- writing

    void writeHead(HttpResponse head, boolean closeDelimited) {
        closeAfter |= closeDelimited || closing();
        encoder.answersHeadRequest(request.method().equals(HttpMethod.HEAD));
        if (closeAfter) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (speaksHttp10()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
        channel.write(head, channel.voidPromise());
    }

    void writeBody(DefaultHttpContent part, int bytes) {
        pendingBytes += bytes;
        context.pending().add(bytes);
        channel.write(part).addListener(done -> written(bytes));
    }

    void writeEnd(LastHttpContent last, int bytes) {
        if (bytes > 0) {
            pendingBytes += bytes;
            context.pending().add(bytes);
            channel.write(last).addListener(done -> written(bytes));
        } else {
            channel.write(last, channel.voidPromise());
        }
    }

    /** Writes a problem document; the connection closes after it unless the request's body was received. */
    void writeProblem(Failure failure, String requestId, boolean bodyReceived) {
        closeAfter |= !bodyReceived;
        writeWhole(SimpleHttpResponse.problem(failure), requestId, Optional.of(failure));
    }

    /** Writes a whole answer of this host itself. */
    void writeAnswer(SimpleHttpResponse answer, String requestId) {
        writeWhole(answer, requestId, Optional.empty());
    }

    void flush() {
        channel.flush();
    }

    /** Calls back when everything written so far was taken by the transport, with whether it was. */
    void afterWrites(Consumer<Boolean> callback) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> callback.accept(done.isSuccess()));
    }

    /** Breaks the connection so that the caller cannot take what it got for the whole. */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** The exchange has ended. */
    void exchangeDone(boolean reusable) {
        current = null;
        context.inFlight().decrementAndGet();
        if (!channel.isActive()) {
            return;
        }
        if (!reusable || closeAfter || draining) {
            linger();
            return;
        }
        Duration limit = decoder.midHead()
                ? context.limits().headTimeout()
                : context.limits().idleTimeout();
        idleWatch.until(System.nanoTime() + limit.toNanos());
        if (pipelined != null) {
            HttpRequest next = pipelined;
            pipelined = null;
            begin(next);
        } else {
            read();
        }
    }

    // ---- inside

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
        wanted = true;
        if (!dispatching) {
            readWhileWanted();
        }
    }

    private void readWhileWanted() {
        dispatching = true;
        while (wanted && channel.isActive()) {
            wanted = false;
            ctx.read();
        }
        dispatching = false;
    }

    private void begin(HttpRequest head) {
        request = head;
        continueSent = false;
        closeAfter |= !HttpUtil.isKeepAlive(head);
        idleWatch.clear();
        if (head.decoderResult().isFailure()) {
            refuse(decoderFailure(head.decoderResult().cause()));
            return;
        }
        Optional<Failure> fault = RequestHead.fault(head, context.limits());
        if (fault.isPresent()) {
            refuse(fault.get());
            return;
        }
        String id = ProxyHeaders.requestId(head.headers());
        if (head.uri().startsWith(LOCAL_PREFIX)) {
            occupy(LocalExchange.of(this, context, head, id)).start();
            return;
        }
        Either<Failure, RequestHead> read = context.wiring()
                .router()
                .route(head, id)
                .flatMap(to -> RequestHead.read(head, id, to, context.wiring().names()));
        if (read.isLeft()) {
            refuseGently(read.getLeft(), id);
            return;
        }
        occupy(Exchange.of(this, context, read.get(), System.nanoTime())).start();
    }

    private <T extends RequestHandler> T occupy(T sink) {
        current = sink;
        context.inFlight().incrementAndGet();
        return sink;
    }

    private void refuseGently(Failure failure, String id) {
        boolean body = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
        if (body) {
            refuse(failure);
            return;
        }
        context.wiring().observer().refused(id, failure);
        occupy(LocalExchange.refusing(this, context, request, id, failure)).start();
    }

    private static Failure decoderFailure(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException;
        return Failure.of(tooLong ? ErrorCode.REQUEST_HEAD_TOO_LARGE : ErrorCode.REQUEST_MALFORMED, "head");
    }

    private void refuse(Failure failure) {
        closeAfter = true;
        lingering = true;
        idleWatch.until(System.nanoTime() + context.limits().lingerTimeout().toNanos());
        String id = request == null ? ProxyHeaders.newRequestId() : ProxyHeaders.requestId(request.headers());
        context.wiring().observer().refused(id, failure);
        writeWhole(SimpleHttpResponse.problem(failure), id, Optional.of(failure));
        afterWrites(written -> linger());
    }

    private void writeWhole(SimpleHttpResponse answer, String requestId, Optional<Failure> failure) {
        boolean head = request != null && request.method().equals(HttpMethod.HEAD);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                head
                        ? Unpooled.EMPTY_BUFFER
                        : Unpooled.wrappedBuffer(answer.body().bytes()));
        answer.headers().forEach(field -> response.headers().add(field.name(), field.value()));
        response.headers().set(ProxyHeaders.REQUEST_ID, requestId);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length());
        failure.ifPresent(told -> {
            response.headers().set(NotRunStatement.ERROR_CODE, told.code().name());
            response.headers().set(ProxyHeaders.NOT_RUN, Boolean.toString(told.notRun()));
            if (context.wiring().names().fractionalRetryAfter()) {
                told.retryAfter().ifPresent(delay -> sayFractionalRetryAfter(response, delay));
            }
        });
        closeAfter |= closing();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        encoder.answersHeadRequest(head);
        channel.write(response, channel.voidPromise());
    }

    /** Replaces the whole seconds that the problem document says, for callers that understand fractions. */
    private void sayFractionalRetryAfter(FullHttpResponse response, Duration delay) {
        String seconds = String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND);
        response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }

    private void written(int bytes) {
        pendingBytes -= bytes;
        writtenBytes += bytes;
        boolean wasExhausted = context.pending().exhausted();
        context.pending().remove(bytes);
        if (wasExhausted && pendingBytes == 0 && current != null) {
            current.writabilityChanged();
        }
    }

    private boolean closing() {
        return draining || context.leaving();
    }

    private void headStarted() {
        if (current == null && !lingering) {
            idleWatch.until(System.nanoTime() + context.limits().headTimeout().toNanos());
        }
    }

    private void idleExpired() {
        if (lingering) {
            channel.close();
        } else if (current == null && decoder.midHead()) {
            refuse(Failure.of(ErrorCode.REQUEST_TIMEOUT, "head"));
        } else if (current == null) {
            linger();
        }
    }

    private void linger() {
        lingering = true;
        if (!channel.isActive()) {
            return;
        }
        idleWatch.until(System.nanoTime() + context.limits().lingerTimeout().toNanos());
        if (channel.pipeline().context(decoder) != null) {
            channel.pipeline().remove(decoder);
        }
        ((SocketChannel) channel).shutdownOutput();
        read();
    }
}
