package org.arbutusfield.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Sends small whole HTTP requests, each on a connection of its own, so that no call meets a connection that has gone
 * silent.
 *
 * <p>Errors: {@code PEER_UNREACHABLE} when no connection came about (not run); {@code PEER_TIMEOUT} and
 * {@code PEER_PROTOCOL} after that (outcome unknown).
 */
public final class HttpCaller {
    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private final EventLoopGroup group;
    private final Duration connectTimeout;

    private HttpCaller(EventLoopGroup group, Duration connectTimeout) {
        this.group = group;
        this.connectTimeout = connectTimeout;
    }

    /** A caller on the given event loops. */
    public static HttpCaller create(EventLoopGroup group, Duration connectTimeout) {
        return new HttpCaller(group, connectTimeout);
    }

    /**
     * Sends the call and waits for the whole answer.
     *
     * @param address where to
     * @param call what to send
     * @param timeout from now to the last byte of the answer
     * @return a future that never fails
     */
    public CompletableFuture<Either<Failure, HttpAnswer>> call(
            InetSocketAddress address, HttpCall call, Duration timeout) {
        CompletableFuture<Either<Failure, HttpAnswer>> result = new CompletableFuture<>();
        int connectMillis = (int) Math.min(connectTimeout.toMillis(), timeout.toMillis());
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectMillis))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                .addLast(new Answer(result));
                    }
                })
                .connect(address)
                .addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        result.complete(Either.left(Failure.of(ErrorCode.PEER_UNREACHABLE, address.toString())));
                        return;
                    }
                    send(connected.channel(), address, call, timeout, result);
                });
        return result;
    }

    private static void send(
            Channel channel,
            InetSocketAddress address,
            HttpCall call,
            Duration timeout,
            CompletableFuture<Either<Failure, HttpAnswer>> result) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.body().bytes()));
        call.headers().forEach(h -> request.headers().add(h.name(), h.value()));
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        request.headers().set(HttpHeaderNames.CONNECTION, "close");
        HttpUtil.setContentLength(request, call.body().length());
        Failure late = Failure.of(ErrorCode.PEER_TIMEOUT, address.toString());
        java.util.concurrent.Future<?> timer = channel.eventLoop()
                .schedule(() -> result.complete(Either.left(late)), timeout.toMillis(), TimeUnit.MILLISECONDS);
        result.whenComplete((answer, error) -> {
            timer.cancel(false);
            channel.close();
        });
        channel.writeAndFlush(request);
    }

    private static final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<Either<Failure, HttpAnswer>> result;

        private Answer(CompletableFuture<Either<Failure, HttpAnswer>> result) {
            this.result = result;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                result.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL)));
                return;
            }
            result.complete(Either.right(new HttpAnswer(
                    response.status().code(),
                    response.headers().entries().stream()
                            .map(e -> Header.of(e.getKey(), e.getValue()))
                            .toList(),
                    Body.of(ByteBufUtil.getBytes(response.content())))));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            result.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "", "connection closed early")));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            result.complete(Either.left(Failure.of(ErrorCode.PEER_PROTOCOL, "", cause.toString())));
        }
    }
}
