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
import java.util.function.Consumer;

/** Tells whether nothing listens at an address. */
public final class PortProbe {
    private PortProbe() {}

    /**
     * Tries to connect, and closes the connection at once.
     *
     * @param loop event loop on which the callback runs
     * @param address the address
     * @param timeout how long to wait
     * @param refused receives true if the connection was refused; false if it was accepted or nothing came back in time
     */
    public static void connect(EventLoop loop, InetSocketAddress address, Duration timeout, Consumer<Boolean> refused) {
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address);
        opened.addListener(done -> {
            opened.channel().close();
            Throwable cause = done.cause();
            refused.accept(cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException));
        });
    }
}
