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
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * One connection from a caller: reads one message at a time on demand, starts requests, gives each its turn to respond,
 * and closes without truncating a response. Confined to its event loop.
 *
 * <p>A request that arrives while earlier ones are in progress is started at once if running it twice is harmless and
 * it has no body, up to a limit. Any other waits until those before it are answered. Once a response has announced that
 * the connection closes, no further request is started; the caller knows that the ones behind it were not read. While
 * the host stops, the response to the last request that was received announces it.
 *
 * <p>Connections are closed with a lingering close: the output is shut down first, and input is read and discarded
 * until the caller closes as well or a timeout passes. A plain close with unread input would reset the connection and
 * could destroy the last bytes of the response in transit. A request that arrives meanwhile is neither answered nor
 * run.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests in progress on one connection; more are read when one of them is answered. */
    private static final int MAX_REQUESTS_IN_PROGRESS = 6;

    private final ProxyContext context;
    private final StrictRequestDecoder decoder;
    private final RequestParser parser;
    private final CallerResponseEncoder encoder;
    /** Requests in progress, in the order in which they arrived. The first one has its turn to respond. */
    private final Deque<CallerRequest> requests = new ArrayDeque<>();

    private Channel channel;
    private ChannelHandlerContext ctx;
    private RequestTimers requestTimers;
    private DeadlineTimer idleTimer;
    /** The request whose body is being received. */
    private Optional<CallerRequest> receiving = Optional.empty();
    /** The head of a request that can't be started yet. */
    private Optional<HttpRequest> waiting = Optional.empty();

    /** Number of request heads that were read from the decoder. */
    private int headsRead;

    private boolean closeAfterResponse;
    private boolean draining;
    private boolean lingering;
    private boolean dispatching;
    private boolean readRequested;

    private CallerConnection(ProxyContext context, CallerResponseEncoder encoder) {
        this.context = context;
        this.encoder = encoder;
        parser = RequestParser.of(context, () -> remoteAddress().getAddress());
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

    Channel channel() {
        return channel;
    }

    // ---- reading

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        ctx = handlerContext;
        channel = handlerContext.channel();
        requestTimers = RequestTimers.create(loop());
        idleTimer = DeadlineTimer.create(loop(), this::idleExpired);
    }

    @Override
    public void channelActive(ChannelHandlerContext unused) {
        if (context.callerConnections().incrementAndGet() > context.limits().callerConnections()) {
            refuseAndClose(RequestParser.UNREADABLE, Failure.of(ErrorCode.CONNECTION_LIMIT));
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
        CallerRequest first = requests.peek();
        if (first != null && !first.isDone()) {
            first.handler().writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        context.callerConnections().decrementAndGet();
        requestTimers.close();
        idleTimer.close();
        abandonRequests();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        if (!(cause instanceof DecoderException)) {
            channel.close();
        } else if (requests.isEmpty() && !lingering) {
            refuseAndClose(RequestParser.UNREADABLE, Failure.of(ErrorCode.REQUEST_MALFORMED, "head"));
        } else {
            closeAfterResponse = true;
        }
    }

    /** Closes the connection immediately, because the host ends. */
    void close() {
        requests.forEach(request -> request.handler().hostEnds());
        channel.close();
    }

    /** Called when the host starts to stop. */
    void hostStops() {
        List.copyOf(requests).forEach(request -> request.handler().hostStops());
    }

    /** Closes the connection once no request is in progress; a request in progress is answered first. */
    void drain() {
        draining = true;
        if (requests.isEmpty() && !decoder.receivingHead()) {
            linger();
        }
    }

    // ---- called by requests

    void writeContinue() {
        encoder.setHeadRequest(false);
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                channel.voidPromise());
    }

    /** Completes the head of a response just before it is written. */
    void prepareHead(CallerRequest from, HttpResponse head) {
        boolean last = requests.isEmpty() || requests.peekLast() == from;
        closeAfterResponse |= from.closes() || (last && closing() && !requestsFollow());
        encoder.setHeadRequest(from.isHeadRequest());
        if (closeAfterResponse && last) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (from.speaksHttp10()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    void flush() {
        channel.flush();
    }

    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Ends a request; the next one gets its turn, or the connection waits for one or is closed. */
    void requestDone(CallerRequest finished, boolean reusable) {
        context.inFlight().decrementAndGet();
        requestTimers.release(finished.timer());
        receiving = receiving.filter(request -> request != finished);
        if (!channel.isActive() || finished.awaitsTurn()) {
            // Either all requests end, or this one was given up and resets the connection at its turn.
            return;
        }
        requests.remove(finished);
        if (!reusable) {
            linger();
        } else if (!requests.isEmpty()) {
            requests.peek().takeTurn();
            startWaiting();
        } else if (closeAfterResponse || (draining && !requestsFollow())) {
            linger();
        } else {
            awaitRequest();
        }
    }

    void read() {
        readRequested = true;
        if (!dispatching) {
            readWhileRequested();
        }
    }

    // ---- internal

    /** True if a further request, or a part of one, has been received. */
    private boolean requestsFollow() {
        boolean received = decoder.heads() > headsRead || decoder.holdsBytes();
        return waiting.isPresent() || (receiving.isEmpty() && received);
    }

    private void dispatch(Object message) {
        headsRead += message instanceof HttpRequest ? 1 : 0;
        if (message instanceof HttpRequest head && !lingering) {
            if (requests.isEmpty()) {
                begin(head);
            } else {
                waiting = Optional.of(head);
                startWaiting();
            }
        } else if (message instanceof HttpContent part && !lingering && receiving.isPresent()) {
            boolean last = part instanceof LastHttpContent;
            RequestHandler handler = receiving.get().handler();
            if (last) {
                receiving = Optional.empty();
            }
            handler.bodyPart(part);
            if (last) {
                read();
            }
        } else {
            ReferenceCountUtil.release(message);
            read();
        }
    }

    private void awaitRequest() {
        Duration limit = decoder.receivingHead()
                ? context.limits().headTimeout()
                : context.limits().idleTimeout();
        idleTimer.set(System.nanoTime() + limit.toNanos());
        if (waiting.isPresent()) {
            HttpRequest next = waiting.get();
            waiting = Optional.empty();
            begin(next);
        } else {
            read();
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
        closeAfterResponse |= !HttpUtil.isKeepAlive(head);
        idleTimer.clear();
        Optional<Failure> fault = parser.fault(head);
        if (fault.isPresent()) {
            refuseAndClose(head, fault.get());
            return;
        }
        String id = ProxyHeaders.requestId(head.headers());
        if (RequestParser.isLocal(head)) {
            CallerRequest request = newRequest(head);
            LocalExchange exchange = LocalExchange.of(request, context, head, id);
            open(request, exchange);
            exchange.start();
            return;
        }
        Either<Failure, RequestHead> read = parser.route(head, id);
        if (read.isLeft()) {
            refuseAndKeepOpen(head, read.getLeft(), id);
            return;
        }
        startExchange(head, read.get());
    }

    /** Starts the waiting request if it may run beside those in progress. */
    private void startWaiting() {
        if (waiting.isEmpty() || requests.isEmpty()) {
            return;
        }
        HttpRequest head = waiting.get();
        boolean connectionAllows =
                requests.size() < MAX_REQUESTS_IN_PROGRESS && receiving.isEmpty() && !closeAfterResponse && !closing();
        Optional<RequestHead> early = connectionAllows ? parser.repeatableWithoutBody(head) : Optional.empty();
        if (early.isPresent()) {
            waiting = Optional.empty();
            startExchange(head, early.get());
        }
    }

    private void startExchange(HttpRequest head, RequestHead read) {
        CallerRequest request = newRequest(head);
        Exchange exchange = Exchange.of(request, context, read, System.nanoTime());
        open(request, exchange);
        exchange.start();
    }

    private CallerRequest newRequest(HttpRequest head) {
        return CallerRequest.of(this, context, head, requestTimers::acquire);
    }

    private void open(CallerRequest request, RequestHandler handler) {
        request.startWith(handler, requests.isEmpty());
        requests.add(request);
        receiving = Optional.of(request);
        context.inFlight().incrementAndGet();
    }

    private void abandonRequests() {
        for (CallerRequest request : List.copyOf(requests)) {
            request.connectionLost();
        }
        requests.clear();
        receiving = Optional.empty();
        waiting = Optional.empty();
    }

    private void refuseAndKeepOpen(HttpRequest head, Failure failure, String id) {
        if (RequestParser.hasBody(head)) {
            refuseAndClose(head, failure);
            return;
        }
        context.components().observer().refused(id, failure);
        CallerRequest request = newRequest(head);
        LocalExchange exchange = LocalExchange.refusing(request, context, head, id, failure);
        open(request, exchange);
        exchange.start();
    }

    private void refuseAndClose(HttpRequest head, Failure failure) {
        closeAfterResponse = true;
        lingering = true;
        idleTimer.set(System.nanoTime() + context.limits().lingerTimeout().toNanos());
        String id = ProxyHeaders.requestId(head.headers());
        context.components().observer().refused(id, failure);
        CallerRequest refused = CallerRequest.of(this, context, head, expired -> idleTimer);
        refused.startWith(RequestHandler.NONE, true);
        refused.writeProblem(failure, id, false);
        refused.afterWrites(written -> linger());
    }

    private boolean closing() {
        return draining || context.stop().isPresent();
    }

    private void headStarted() {
        if (requests.isEmpty() && !lingering) {
            idleTimer.set(System.nanoTime() + context.limits().headTimeout().toNanos());
        }
    }

    private void idleExpired() {
        if (lingering) {
            channel.close();
        } else if (requests.isEmpty() && decoder.receivingHead()) {
            refuseAndClose(RequestParser.UNREADABLE, Failure.of(ErrorCode.REQUEST_TIMEOUT, "head"));
        } else if (requests.isEmpty()) {
            linger();
        }
    }

    private void linger() {
        lingering = true;
        abandonRequests();
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
