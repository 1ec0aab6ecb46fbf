package org.arbutusfield.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** One connection of an {@link HttpClient}, which carries one request at a time. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final StrictResponseDecoder decoder;
    private volatile Channel channel;
    private volatile CompletableFuture<Either<Failure, SimpleHttpResponse>> pending = new CompletableFuture<>();
    private volatile boolean peerKeepsAlive;
    private volatile long lastResponseNanos;

    private ClientConnection(StrictResponseDecoder decoder) {
        this.decoder = decoder;
    }

    /** Creates a connection whose responses the decoder reads. */
    static ClientConnection of(StrictResponseDecoder decoder) {
        return new ClientConnection(decoder);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Sends a request; the future never fails, and completes on the channel's event loop. */
    CompletableFuture<Either<Failure, SimpleHttpResponse>> send(
            InetSocketAddress address, SimpleHttpRequest request, Duration timeout, boolean keepAlive) {
        CompletableFuture<Either<Failure, SimpleHttpResponse>> result = new CompletableFuture<>();
        pending = result;
        Failure timedOut = Failure.of(ErrorCode.PEER_TIMEOUT, address.toString());
        Future<?> timer = channel.eventLoop()
                .schedule(() -> result.complete(Either.left(timedOut)), timeout.toMillis(), TimeUnit.MILLISECONDS);
        decoder.expectResponseTo(HttpMethod.valueOf(request.method()));
        channel.writeAndFlush(encode(address, request, keepAlive)).addListener(written -> {
            if (!written.isSuccess()) {
                failPending();
            }
        });
        return result.thenApply(response -> {
            timer.cancel(false);
            return response;
        });
    }

    /** True if the connection is open after a complete response and the peer keeps it open. */
    boolean reusable() {
        return peerKeepsAlive && channel.isActive();
    }

    /** True if the connection is open and was idle for less than the limit. */
    boolean idleForLessThan(Duration limit) {
        return channel.isActive() && System.nanoTime() - lastResponseNanos < limit.toNanos();
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse message) {
        if (message.decoderResult().isFailure()) {
            peerKeepsAlive = false;
            String reason = message.decoderResult().cause().toString();
            pending.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "", reason)));
            return;
        }
        if (message.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            // The final response follows.
            return;
        }
        peerKeepsAlive = HttpUtil.isKeepAlive(message);
        lastResponseNanos = System.nanoTime();
        SimpleHttpResponse response = new SimpleHttpResponse(
                message.status().code(),
                message.headers().entries().stream()
                        .map(e -> Header.of(e.getKey(), e.getValue()))
                        .toList(),
                Body.of(ByteBufUtil.getBytes(message.content())));
        if (!pending.complete(Either.right(response))) {
            // No request is waiting for it: the request timed out, or the peer sent an unsolicited response.
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failPending();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pending.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "", cause.toString())));
        ctx.close();
    }

    private void failPending() {
        pending.complete(Either.left(
                Failure.of(ErrorCode.PEER_PROTOCOL, "", "connection closed before the response was complete")));
    }

    private static FullHttpRequest encode(InetSocketAddress address, SimpleHttpRequest request, boolean keepAlive) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body().bytes()));
        request.headers().forEach(h -> message.headers().add(h.name(), h.value()));
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        if (!keepAlive) {
            message.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        HttpUtil.setContentLength(message, request.body().length());
        return message;
    }
}
