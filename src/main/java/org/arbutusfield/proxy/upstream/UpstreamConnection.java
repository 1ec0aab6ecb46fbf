package org.arbutusfield.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.arbutusfield.proxy.upstream.UpstreamResponseListener.Loss;

/**
 * One connection to an upstream, confined to its event loop.
 *
 * <p>Problem: HTTP/1.1 does not say which request an answer belongs to; only the order on the connection does. A byte
 * too many after one answer becomes the beginning of the next caller's answer.
 *
 * <p>Idea: the connection carries one request at a time and goes back to its pool only in the state it had when new.
 *
 * <p>Invariants: it is idle only when request and answer both ended exactly, the upstream wishes to keep it, and the
 * decoder holds no byte. A byte that arrives while it is idle closes it. An answer that ends before its request ended
 * closes it after the answer. After {@link #abandon()} or a loss the receiver is not called again.
 *
 * <p>Example: the upstream sends the same answer twice. The first copy goes to the receiver. The second is in the same
 * read, so the decoder still holds its bytes when the first has ended and the connection is closed, or it arrives later
 * and finds the connection idle, which closes it too.
 *
 * <p>What this cannot see is a stale answer that arrives after the next request was written. Against that stands the
 * request id: an upstream that echoes it proves whose answer it is, see {@link #echoed()}.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final String REQUEST_ID = "x-request-id";

    private final ConnectionPool pool;
    private final StrictResponseDecoder decoder;
    private Channel channel;
    private UpstreamResponseListener receiver;
    private boolean reused;
    private boolean requestEnded;
    private boolean keepAlive;
    private boolean informational;
    private boolean echoed;
    private long lastReadNanos;
    private volatile long idleSinceNanos;

    UpstreamConnection(ConnectionPool pool, StrictResponseDecoder decoder) {
        this.pool = pool;
        this.decoder = decoder;
    }

    /** True when an earlier request was answered on this connection. */
    public boolean reused() {
        return reused;
    }

    /** True when the last answer on this connection carried the id of its request. */
    public boolean echoed() {
        return echoed;
    }

    /** False once the connection is closed. */
    public boolean open() {
        return channel.isActive();
    }

    /** False while the request's body has to wait. */
    public boolean writable() {
        return channel.isWritable();
    }

    /** Monotonic time of the last byte received, in nanoseconds; the time of connecting if none was. */
    public long lastReadNanos() {
        return lastReadNanos;
    }

    /** Starts a request; the answer goes to the receiver. The connection must be idle. */
    public void begin(HttpRequest head, UpstreamResponseListener to) {
        receiver = to;
        requestEnded = false;
        keepAlive = true;
        decoder.expectAnswerTo(head.method());
        if (head instanceof FullHttpRequest) {
            requestEnded = true;
            channel.writeAndFlush(head, channel.voidPromise());
        } else {
            channel.write(head, channel.voidPromise());
        }
    }

    /** Sends a part of the request's body, which is handed over. */
    public void sendBody(ByteBuf part) {
        channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
    }

    /** Ends the request. */
    public void endBody(LastHttpContent last) {
        requestEnded = true;
        channel.writeAndFlush(last, channel.voidPromise());
    }

    /** Reads on, or stops reading so that the upstream has to wait. */
    public void reading(boolean wanted) {
        if (channel.config().isAutoRead() != wanted) {
            channel.config().setAutoRead(wanted);
            lastReadNanos = System.nanoTime();
        }
    }

    /** Closes the connection; an upstream that still works on the request sees it cancelled. */
    public void abandon() {
        receiver = null;
        channel.close();
    }

    /** Gives back a connection on which nothing was sent. */
    public void giveBack() {
        pool.giveBack(this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastReadNanos = System.nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastReadNanos = System.nanoTime();
        if (receiver == null) {
            ReferenceCountUtil.release(message);
            keepAlive = false;
            channel.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            answerHead(head);
        }
        if (message instanceof HttpContent content) {
            answerContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (receiver == null && decoder.undecodedBytes() > 0) {
            channel.close();
        }
        if (receiver != null) {
            receiver.batchEnded();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (receiver != null) {
            receiver.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.closed(this);
        lose(Loss.CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lose(Loss.CLOSED);
        channel.close();
    }

    Channel channel() {
        return channel;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void becomeIdle(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    private void answerHead(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            lose(Loss.MALFORMED);
            channel.close();
            return;
        }
        informational = head.status().code() / 100 == 1 && head.status().code() != 101;
        if (informational) {
            return;
        }
        keepAlive &= HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        echoed = head.headers().contains(REQUEST_ID);
        if (HttpUtil.isContentLengthSet(head)
                && head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            lose(Loss.MALFORMED);
            channel.close();
            return;
        }
        receiver.answerHead(head);
    }

    private void answerContent(HttpContent content) {
        if (receiver == null || informational) {
            informational = informational && !(content instanceof LastHttpContent);
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            lose(Loss.MALFORMED);
            channel.close();
            return;
        }
        UpstreamResponseListener to = receiver;
        if (content instanceof LastHttpContent) {
            receiver = null;
            settle();
        }
        to.answerContent(content);
    }

    private void settle() {
        boolean exact = requestEnded && keepAlive && decoder.undecodedBytes() == 0 && channel.isActive();
        if (!exact) {
            channel.close();
            return;
        }
        reused = true;
        reading(true);
        pool.giveBack(this);
    }

    private void lose(Loss loss) {
        UpstreamResponseListener told = receiver;
        receiver = null;
        if (told != null) {
            told.lost(loss);
        }
    }
}
