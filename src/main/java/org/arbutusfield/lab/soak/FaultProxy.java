package org.arbutusfield.lab.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A TCP proxy on loopback that forwards connections to a target and injects faults according to its mode. */
public final class FaultProxy {
    private static final Duration DELAY = Duration.ofMillis(150);

    private final InetSocketAddress target;
    private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile LinkMode mode = LinkMode.PASS;
    private Channel listener;
    private InetSocketAddress address;

    private FaultProxy(InetSocketAddress target) {
        this.target = target;
    }

    /** Starts a proxy on a free port. */
    public static FaultProxy start(EventLoopGroup group, InetSocketAddress target) {
        FaultProxy proxy = new FaultProxy(target);
        proxy.listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        proxy.accept(accepted);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
        proxy.address = (InetSocketAddress) proxy.listener.localAddress();
        return proxy;
    }

    /** The address that connections are forwarded from. */
    public InetSocketAddress address() {
        return address;
    }

    /** Switches the mode for open and new connections. */
    public void mode(LinkMode next) {
        mode = next;
        if (next == LinkMode.RESET) {
            openChannels.forEach(FaultProxy::reset);
        }
    }

    /** Refuses new connections; open ones live on. */
    public void stopListening() {
        listener.close().awaitUninterruptibly();
    }

    private void accept(SocketChannel accepted) {
        if (mode == LinkMode.RESET) {
            reset(accepted);
            return;
        }
        openChannels.add(accepted);
        ChannelFuture connecting = new Bootstrap()
                .group(accepted.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Pipe(accepted, true))
                .connect(target);
        accepted.pipeline().addLast(new Pipe(connecting.channel(), false));
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                openChannels.add(connecting.channel());
                accepted.config().setAutoRead(true);
                connecting.channel().config().setAutoRead(true);
            } else {
                reset(accepted);
            }
        });
    }

    private static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            if (channel instanceof SocketChannel socket && channel.isOpen()) {
                socket.config().setSoLinger(0);
            }
            channel.close();
        });
    }

    /** Forwards bytes and the end of a connection to the peer connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel peer;
        private final boolean towardsCaller;

        private Pipe(Channel peer, boolean towardsCaller) {
            this.peer = peer;
            this.towardsCaller = towardsCaller;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            boolean dropped = mode == LinkMode.SILENT || (mode == LinkMode.ONE_WAY && towardsCaller);
            if (dropped) {
                // Bytes after the dropped ones would corrupt the stream, so nothing more is read.
                ctx.channel().config().setAutoRead(false);
                ((ByteBuf) message).release();
            } else if (mode == LinkMode.DELAY) {
                ctx.channel().config().setAutoRead(false);
                ctx.executor()
                        .schedule(
                                () -> {
                                    peer.writeAndFlush(message);
                                    ctx.channel().config().setAutoRead(true);
                                },
                                DELAY.toMillis(),
                                TimeUnit.MILLISECONDS);
            } else {
                peer.writeAndFlush(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            peer.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset(peer);
            ctx.close();
        }
    }
}
