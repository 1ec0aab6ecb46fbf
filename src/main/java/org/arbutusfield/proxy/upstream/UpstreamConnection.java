package org.arbutusfield.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One connection to an upstream, confined to its event loop.
 *
 * <p>Problem: an HTTP/1.1 response does not identify its request; only the order on the connection does. A surplus byte
 * after one response becomes the beginning of the next caller's response.
 *
 * <p>Idea: the connection carries one request at a time and returns to its pool only in the same state as a new
 * connection.
 *
 * <p>Invariants: the connection becomes idle only if the request was sent completely, the response is complete, the
 * upstream keeps the connection open, and the decoder holds no bytes. A byte that arrives while the connection is idle
 * closes it. If the response ends before the request was sent completely, the connection is closed after the response.
 * After {@link #abandon} or a loss the listener is not called again. Only the request that the connection carries can
 * abandon it. A response is complete only if something proves it: its length, its last chunk or, where it has neither,
 * the upstream's end of input on a connection on which no write has failed. A socket reports a reset once, so if a
 * write fails, the next read sees an end of input that the upstream may not have sent.
 *
 * <p>Example: the upstream sends the same response twice. The first copy goes to the listener. If the second copy is in
 * the same read, the decoder still holds its bytes when the first copy ends, and the connection is closed. If it
 * arrives later, the connection is idle and is closed as well.
 *
 * <p>This does not detect a stale response that arrives after the next request was written. An upstream that echoes the
 * request id in its response allows that to be detected, see {@link #requestIdEchoed()}.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger(UpstreamConnection.class);
    private static final String REQUEST_ID = "x-request-id";
    /** Upstreams close connections that were idle for longer than this without any change. */
    private static final Duration RECENT_USE = Duration.ofSeconds(2);
    /** The peer of a failed write has closed the connection, so what it had sent before is here or on its way. */
    private static final Duration LAST_RESPONSE_TIMEOUT = Duration.ofMillis(200);
    /** More than an upstream in order sends before one response; without a limit they may come without end. */
    private static final int MAX_INTERIM_RESPONSES = 32;

    private final ChannelFutureListener writeListener = this::written;
    private final ConnectionPool pool;
    private final UpstreamResponseDecoder decoder;
    private Channel channel;
    private UpstreamResponseListener responseListener;
    private boolean reading = true;
    private boolean closedHere;
    private boolean reused;
    private boolean requestEnded;
    private boolean outputFailed;
    private boolean keepAlive;
    private boolean informational;
    private int interimResponses;
    private boolean requestIdEchoed;
    private long lastReadNanos;
    private long openedNanos;
    /** Unlike the time of the last read, not changed when reading is resumed. */
    private volatile long lastByteNanos;

    private volatile long idleSinceNanos;

    UpstreamConnection(ConnectionPool pool, UpstreamResponseDecoder decoder) {
        this.pool = pool;
        this.decoder = decoder;
    }

    /** True if a complete response was received on this connection before. */
    public boolean reused() {
        return reused;
    }

    /** True if the last response on this connection had a request id field. */
    public boolean requestIdEchoed() {
        return requestIdEchoed;
    }

    /** False once the connection is closed. */
    public boolean open() {
        return channel.isActive() && !outputFailed;
    }

    /** False while the write buffer is full and the request's body has to wait. */
    public boolean writable() {
        return channel.isWritable();
    }

    /** Monotonic time of the last byte received, in nanoseconds; the time of connecting if there was none. */
    public long lastReadNanos() {
        return lastReadNanos;
    }

    /**
     * Starts a request; the response goes to the listener. The connection must be idle.
     *
     * @return true once any byte of the request was handed to the network
     */
    public BooleanSupplier begin(HttpRequest head, UpstreamResponseListener listener) {
        responseListener = listener;
        requestEnded = false;
        keepAlive = true;
        interimResponses = 0;
        decoder.expectResponseTo(head.method());
        WriteProgress headProgress = new WriteProgress(channel);
        headProgress.addListener(writeListener);
        if (head instanceof FullHttpRequest) {
            requestEnded = true;
            channel.writeAndFlush(head, headProgress);
        } else {
            channel.write(head, headProgress);
        }
        return headProgress::begun;
    }

    /** Sends a part of the request's body and takes ownership of it. */
    public void sendBody(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part)).addListener(writeListener);
    }

    /** Ends the request. */
    public void endBody(LastHttpContent last) {
        requestEnded = true;
        channel.writeAndFlush(last).addListener(writeListener);
    }

    /**
     * Resumes reading, or stops it so that the upstream has to wait. Has no effect once the response is complete.
     *
     * @param owner listener of the request
     * @param wanted whether to read
     */
    public void setReading(UpstreamResponseListener owner, boolean wanted) {
        if (responseListener == owner) {
            setReading(wanted);
        }
    }

    private void setReading(boolean wanted) {
        if (reading == wanted) {
            return;
        }
        reading = wanted;
        lastReadNanos = System.nanoTime();
        readNext();
    }

    private void readNext() {
        if (reading && channel.isActive()) {
            channel.read();
        }
    }

    /** Closes the connection once the current response is complete. */
    public void closeAfterResponse() {
        keepAlive = false;
    }

    /**
     * Closes the connection, which cancels a request that the upstream is still processing. Has no effect once the
     * response of that request is complete: the connection belongs to nobody then, or to another request.
     *
     * @param owner listener of the request
     */
    public void abandon(UpstreamResponseListener owner) {
        if (responseListener != owner) {
            return;
        }
        responseListener = null;
        close();
    }

    /** Closes the connection; the close does not count as a loss. */
    ChannelFuture close() {
        closedHere = true;
        return channel.close();
    }

    /** Returns the connection to its pool without having sent a request on it. */
    public void release() {
        pool.release(this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastReadNanos = System.nanoTime();
        openedNanos = lastReadNanos;
        lastByteNanos = lastReadNanos;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        readNext();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastReadNanos = System.nanoTime();
        lastByteNanos = lastReadNanos;
        received(message);
        readNext();
    }

    private void received(Object message) {
        if (responseListener == null) {
            ReferenceCountUtil.release(message);
            keepAlive = false;
            close();
            return;
        }
        if (message instanceof HttpResponse head) {
            responseHead(head);
        }
        if (message instanceof HttpContent content) {
            responseContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (responseListener == null && decoder.undecodedBytes() > 0) {
            close();
        }
        if (responseListener != null) {
            responseListener.batchEnded();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (responseListener != null) {
            responseListener.writabilityChanged();
        }
    }

    /** The end of the upstream's input, after the decoder has seen it. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        boolean inUse = responseListener != null || System.nanoTime() - lastReadNanos < RECENT_USE.toNanos();
        pool.closed(this, inUse && !closedHere);
        reportLoss(Optional.empty());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reportLoss(Optional.empty());
        channel.close();
    }

    /** True if the connection was opened before a monotonic time and has received bytes after another one. */
    boolean spans(long openedBeforeNanos, long receivedAfterNanos) {
        return openedNanos - openedBeforeNanos < 0 && lastByteNanos - receivedAfterNanos > 0;
    }

    Channel channel() {
        return channel;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void markIdle(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    /**
     * After a failed write, reads on until the end of the connection: an upstream that refuses a request before it has
     * read the body closes the connection with a reset, and its response waits to be read.
     */
    private void written(ChannelFuture write) {
        if (write.isSuccess() || outputFailed) {
            return;
        }
        outputFailed = true;
        keepAlive = false;
        if (!channel.isOpen()) {
            return;
        }
        setReading(true);
        channel.eventLoop().schedule(() -> channel.close(), LAST_RESPONSE_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void responseHead(HttpResponse head) {
        informational = head.status().code() / 100 == 1 && head.status().code() != 101;
        interimResponses += informational ? 1 : 0;
        Optional<MalformedPart> malformed = malformedPart(head);
        if (malformed.isPresent()) {
            reject(malformed.get());
            return;
        }
        if (informational) {
            return;
        }
        keepAlive &= HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        requestIdEchoed = head.headers().contains(REQUEST_ID);
        responseListener.responseHead(head);
    }

    private Optional<MalformedPart> malformedPart(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            return Optional.of(MalformedPart.of(decoder.fault()));
        }
        return interimResponses > MAX_INTERIM_RESPONSES
                ? Optional.of(MalformedPart.INTERIM_RESPONSES)
                : Optional.empty();
    }

    private void responseContent(HttpContent content) {
        if (responseListener == null || informational) {
            informational = informational && !(content instanceof LastHttpContent);
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            reject(MalformedPart.BODY);
            return;
        }
        if (content instanceof LastHttpContent && decoder.endedByConnection() && !endedInOrder()) {
            content.release();
            LOG.warn(
                    "event=answer_end_unproven upstream={} input_ended={} write_failed={}",
                    channel.remoteAddress(),
                    decoder.inputEnded(),
                    outputFailed);
            reportLoss(Optional.empty());
            channel.close();
            return;
        }
        UpstreamResponseListener listener = responseListener;
        if (content instanceof LastHttpContent) {
            responseListener = null;
            finishExchange();
        }
        listener.responseContent(content);
    }

    /** True if the upstream has ended its output, and nothing has failed on the connection. */
    private boolean endedInOrder() {
        boolean outputShutDown = channel instanceof DuplexChannel duplex && duplex.isOutputShutdown();
        return decoder.inputEnded() && !outputFailed && !outputShutDown;
    }

    private void finishExchange() {
        boolean open = channel.isActive() && !decoder.endedByConnection();
        boolean clean = requestEnded && keepAlive && decoder.undecodedBytes() == 0 && open;
        if (!clean) {
            close();
            return;
        }
        reused = true;
        setReading(true);
        pool.release(this);
    }

    private void reject(MalformedPart part) {
        reportLoss(Optional.of(part));
        close();
    }

    private void reportLoss(Optional<MalformedPart> malformed) {
        UpstreamResponseListener listener = responseListener;
        responseListener = null;
        if (listener != null) {
            listener.lost(malformed);
        }
    }
}
