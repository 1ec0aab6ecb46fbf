package org.arbutusfield.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** One connection of an {@link HttpClient}, which carries one request at a time. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final StrictResponseDecoder decoder;
    private volatile Channel channel;
    private volatile ClientCall<?> call = ClientCall.of(WholeResponse.create());
    private volatile boolean peerKeepsAlive;
    private volatile long lastResponseNanos;
    private boolean informational;

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
    <T> CompletableFuture<Either<Failure, T>> send(
            InetSocketAddress address,
            SimpleHttpRequest request,
            ResponseReader<T> reader,
            Duration timeout,
            boolean keepAlive) {
        ClientCall<T> sent = ClientCall.of(reader);
        call = sent;
        peerKeepsAlive = false;
        Future<?> timer = channel.eventLoop()
                .schedule(
                        () -> sent.fail(ErrorCode.PEER_TIMEOUT, address.toString(), "no whole answer in time"),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        decoder.expectResponseTo(HttpMethod.valueOf(request.method()));
        channel.writeAndFlush(encode(address, request, keepAlive)).addListener(written -> {
            if (!written.isSuccess()) {
                connectionLost();
            }
        });
        return sent.result().thenApply(response -> {
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
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (call.done()) {
            // No request is waiting for it: the request timed out, or the peer sent an unsolicited response.
            ctx.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            call.fail(
                    ErrorCode.PEER_PROTOCOL, "", message.decoderResult().cause().toString());
            return;
        }
        if (message instanceof HttpResponse head) {
            head(head);
        }
        if (message instanceof HttpContent part) {
            body(part);
        }
    }

    private void head(HttpResponse head) {
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            // The final response follows.
            return;
        }
        peerKeepsAlive = HttpUtil.isKeepAlive(head);
        List<Header> headers = head.headers().entries().stream()
                .map(e -> Header.of(e.getKey(), e.getValue()))
                .toList();
        call.head(head.status().code(), headers);
    }

    private void body(HttpContent part) {
        if (informational) {
            return;
        }
        call.body(part.content());
        if (part instanceof LastHttpContent) {
            lastResponseNanos = System.nanoTime();
            call.end();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        call.fail(ErrorCode.PEER_PROTOCOL, "", cause.toString());
        ctx.close();
    }

    private void connectionLost() {
        call.fail(ErrorCode.PEER_PROTOCOL, "", "connection closed before the response was complete");
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
