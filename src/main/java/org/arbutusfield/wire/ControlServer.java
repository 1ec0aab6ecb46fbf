package org.arbutusfield.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/** Accepts control connections and passes their messages to the registered handlers. */
public final class ControlServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlServer.class);

    private final ControlLimits limits;
    private final ControlHandlers handlers;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final TrafficCounter traffic = new TrafficCounter();
    private Channel listener;

    private ControlServer(ControlLimits limits, ControlHandlers handlers) {
        this.limits = limits;
        this.handlers = handlers;
    }

    /**
     * Starts the server.
     *
     * @param group network threads, owned by the caller
     * @param address address to listen on; port 0 selects any free port
     * @param handlers handle the messages
     * @param limits limits of the connections
     * @return the server, or {@code ADDRESS_IN_USE}
     */
    public static Either<Failure, ControlServer> start(
            EventLoopGroup group, PeerAddress address, ControlHandlers handlers, ControlLimits limits) {
        ControlServer server = new ControlServer(limits, handlers);
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(ControlLimits.SEND_BUFFER_BYTES / 2, ControlLimits.SEND_BUFFER_BYTES))
                .childHandler(server.initializer())
                .bind(address.host(), address.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            return Either.left(Failure.of(
                    ErrorCode.ADDRESS_IN_USE, address.toString(), bound.cause().toString()));
        }
        server.listener = bound.channel();
        LOG.info("event=control_listening address={}", server.listener.localAddress());
        return Either.right(server);
    }

    /** The TCP port on which the server listens. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Traffic counts over all connections. */
    public TrafficCounter traffic() {
        return traffic;
    }

    /** Stops listening and closes every connection. */
    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        };
    }

    private void accept(Channel channel) {
        if (connections.size() >= limits.maxConnections()) {
            LOG.warn("event=control_connection_refused code={}", ErrorCode.CONNECTION_LIMIT);
            Channels.close(channel);
            return;
        }
        connections.add(channel);
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, limits.idleTimeout().toMillis(), TimeUnit.MILLISECONDS));
        FrameCodec.install(channel.pipeline(), traffic);
        channel.pipeline().addLast(new ServerConnection(handlers, limits.maxInFlight()));
    }
}
