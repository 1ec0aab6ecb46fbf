package org.arbutusfield.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** An {@link UpstreamProbe} over TCP. */
public final class PortProbe implements UpstreamProbe {
    private final EventLoop loop;
    private final Duration timeout;

    private PortProbe(EventLoop loop, Duration timeout) {
        this.loop = loop;
        this.timeout = timeout;
    }

    /**
     * Creates a probe.
     *
     * @param loop event loop on which the futures complete
     * @param timeout how long to wait for an answer
     */
    public static PortProbe of(EventLoop loop, Duration timeout) {
        return new PortProbe(loop, timeout);
    }

    @Override
    public CompletableFuture<Result> connect(InetSocketAddress address) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address);
        opened.addListener(done -> {
            opened.channel().close();
            result.complete(done.isSuccess() ? Result.ACCEPTED : failure(done.cause()));
        });
        return result;
    }

    private static Result failure(Throwable cause) {
        boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return refused ? Result.REFUSED : Result.NO_ANSWER;
    }
}
