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

/** One connection of an {@link HttpClient}, with one call at a time. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private volatile Channel channel;
    private volatile CompletableFuture<Either<Failure, SimpleHttpResponse>> pending = new CompletableFuture<>();
    private volatile boolean keptByPeer;
    private volatile long answeredNanos;

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Sends a call; the future never fails, and completes on the channel's event loop. */
    CompletableFuture<Either<Failure, SimpleHttpResponse>> send(
            InetSocketAddress address, SimpleHttpRequest call, Duration timeout, boolean keep) {
        CompletableFuture<Either<Failure, SimpleHttpResponse>> result = new CompletableFuture<>();
        pending = result;
        Failure late = Failure.of(ErrorCode.PEER_TIMEOUT, address.toString());
        Future<?> timer = channel.eventLoop()
                .schedule(() -> result.complete(Either.left(late)), timeout.toMillis(), TimeUnit.MILLISECONDS);
        channel.writeAndFlush(request(address, call, keep)).addListener(written -> {
            if (!written.isSuccess()) {
                closedEarly();
            }
        });
        return result.thenApply(answer -> {
            timer.cancel(false);
            return answer;
        });
    }

    /** True when the connection is open after a whole answer and the peer keeps it. */
    boolean reusable() {
        return keptByPeer && channel.isActive();
    }

    /** True when the connection is open and was idle for less than the limit. */
    boolean idleFor(Duration limit) {
        return channel.isActive() && System.nanoTime() - answeredNanos < limit.toNanos();
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (response.decoderResult().isFailure()) {
            keptByPeer = false;
            pending.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL)));
            return;
        }
        keptByPeer = HttpUtil.isKeepAlive(response);
        answeredNanos = System.nanoTime();
        SimpleHttpResponse answer = new SimpleHttpResponse(
                response.status().code(),
                response.headers().entries().stream()
                        .map(e -> Header.of(e.getKey(), e.getValue()))
                        .toList(),
                Body.of(ByteBufUtil.getBytes(response.content())));
        if (!pending.complete(Either.right(answer))) {
            // Nobody waits for it: the call timed out, or the peer sent more than it was asked for.
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closedEarly();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pending.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "", cause.toString())));
        ctx.close();
    }

    private void closedEarly() {
        pending.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "", "connection closed early")));
    }

    private static FullHttpRequest request(InetSocketAddress address, SimpleHttpRequest call, boolean keep) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.body().bytes()));
        call.headers().forEach(h -> request.headers().add(h.name(), h.value()));
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        if (!keep) {
            request.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        HttpUtil.setContentLength(request, call.body().length());
        return request;
    }
}
