package org.arbutusfield.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** An HTTP server for small messages that are held in memory. Handlers run on event loops and must not block. */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpServer.class);
    private static final int IDLE_TIMEOUT_SECONDS = 90;

    private final Channel channel;

    private HttpServer(Channel channel) {
        this.channel = channel;
    }

    /** Handles requests; the returned future may complete on any thread. */
    @FunctionalInterface
    public interface Handler {
        /** Handles the request; a failed future becomes a problem document with {@code INTERNAL}. */
        CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request);
    }

    /**
     * Binds the address.
     *
     * @param group event loops for accepting and serving
     * @param address address to bind; port 0 picks a free port
     * @param maxBodyBytes maximum bytes of a request body; larger ones are refused with 413
     * @param handler answers the requests
     * @return the server, or {@code ADDRESS_IN_USE}
     */
    public static Either<Failure, HttpServer> bind(
            EventLoopGroup group, InetSocketAddress address, int maxBodyBytes, Handler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                .addLast(new RequestHandler(handler));
                    }
                });
        io.netty.channel.ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            return Either.left(Failure.of(ErrorCode.ADDRESS_IN_USE, address.toString()));
        }
        return Either.right(new HttpServer(bound.channel()));
    }

    /** The bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        private RequestHandler(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure()) {
                write(ctx, SimpleHttpResponse.problem(Failure.of(ErrorCode.REQUEST_MALFORMED)), false);
                return;
            }
            respond(toRequest(request)).whenComplete((response, error) -> {
                if (error != null) {
                    LOG.error("event=http_handler_failed", error);
                    write(ctx, SimpleHttpResponse.problem(Failure.of(ErrorCode.INTERNAL)), false);
                    return;
                }
                write(ctx, response, keepAlive);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private CompletableFuture<SimpleHttpResponse> respond(SimpleHttpRequest request) {
            try {
                return handler.handle(request);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private static SimpleHttpRequest toRequest(FullHttpRequest request) {
            List<Header> headers = request.headers().entries().stream()
                    .map(e -> Header.of(e.getKey(), e.getValue()))
                    .toList();
            return new SimpleHttpRequest(
                    request.method().name(), request.uri(), headers, Body.of(ByteBufUtil.getBytes(request.content())));
        }

        private static void write(ChannelHandlerContext ctx, SimpleHttpResponse response, boolean keepAlive) {
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body().bytes()));
            response.headers().forEach(h -> message.headers().add(h.name(), h.value()));
            HttpUtil.setContentLength(message, response.body().length());
            if (keepAlive) {
                ctx.writeAndFlush(message);
                return;
            }
            message.headers().set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
