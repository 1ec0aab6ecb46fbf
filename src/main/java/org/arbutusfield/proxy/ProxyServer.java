package org.arbutusfield.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.proxy.upstream.ConnectionPools;

/**
 * The callers' port of an entry host: answers {@code /-/} itself and forwards requests for services to upstreams or to
 * entry hosts of other regions. Thread-safe.
 *
 * <p>A planned stop is {@link #leave()}, then some time in which callers' cached look-ups run out, then
 * {@link #drain(Duration)}, then {@link #close()}.
 */
public final class ProxyServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

    private final EventLoopGroup group;
    private final ProxyContext context;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> empty = new CompletableFuture<>();
    private Channel listener;
    private volatile boolean draining;

    private ProxyServer(EventLoopGroup group, ProxyContext context) {
        this.group = group;
        this.context = context;
    }

    /** Opens the callers' port of a host that places requests by itself; see {@link ProxyComponents#of}. */
    public static Either<Failure, ProxyServer> bind(
            EventLoopGroup group, InetSocketAddress address, String region, Supplier<Configuration> running) {
        return bind(group, address, ProxyComponents.of(region, running));
    }

    /**
     * Opens the callers' port.
     *
     * @param group event loops for callers and upstreams
     * @param address where to listen; port 0 picks a free one
     * @param wiring the parts to work with
     * @return the server, or {@code ADDRESS_IN_USE}
     */
    public static Either<Failure, ProxyServer> bind(
            EventLoopGroup group, InetSocketAddress address, ProxyComponents wiring) {
        ConnectionPools pools =
                ConnectionPools.start(group, wiring.limits().get().connectTimeout());
        ProxyServer server = new ProxyServer(group, ProxyContext.of(wiring, pools));
        ChannelFuture bound = server.bootstrap().bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            pools.close();
            return Either.left(Failure.of(ErrorCode.ADDRESS_IN_USE, address.toString()));
        }
        server.listener = bound.channel();
        return Either.right(server);
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Requests taken and not yet finished. */
    public int inFlight() {
        return context.inFlight().get();
    }

    /** Connections from callers. */
    public int connections() {
        return connections.size();
    }

    /** Connections to upstreams and other hosts, open or opening. */
    public int upstreamConnections() {
        return context.pools().open();
    }

    /** Connections to upstreams and other hosts that wait for a request. */
    public int idleUpstreamConnections() {
        return context.pools().idle();
    }

    /** Bytes held for requests and answers at this moment. */
    public long bufferedBytes() {
        return context.replay().held() + context.pending().held();
    }

    /** The most bytes held at any moment, of requests and of answers, added. */
    public long peakBufferedBytes() {
        return context.replay().peak() + context.pending().peak();
    }

    /** Serves on, and asks callers with each answer to use another connection next time. */
    public void leave() {
        context.leave();
    }

    /**
     * Takes no new connections, closes those without a request, and lets the others finish.
     *
     * @param limit time after which the future completes all the same
     * @return the number of requests left unfinished; 0 unless the limit passed
     */
    public CompletableFuture<Integer> drain(Duration limit) {
        leave();
        draining = true;
        listener.close();
        connections.forEach(this::drain);
        finishIfEmpty();
        CompletableFuture<Integer> drained = new CompletableFuture<>();
        empty.thenRun(() -> drained.complete(0));
        group.next().schedule(() -> drained.complete(inFlight()), limit.toNanos(), TimeUnit.NANOSECONDS);
        return drained;
    }

    /** Closes the port and all connections; what still runs is cut. */
    @Override
    public void close() {
        draining = true;
        listener.close().awaitUninterruptibly();
        connections.forEach(CallerConnection::close);
        context.pools().close();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        accept(child);
                    }
                });
    }

    private void accept(SocketChannel child) {
        CallerResponseEncoder encoder = CallerResponseEncoder.create();
        CallerConnection connection = CallerConnection.of(context, encoder);
        child.closeFuture().addListener(closed -> {
            connections.remove(connection);
            finishIfEmpty();
        });
        child.pipeline()
                .addLast(connection.decoder())
                .addLast(encoder)
                .addLast(new FlowControlHandler())
                .addLast(connection);
        connections.add(connection);
        if (draining) {
            drain(connection);
        }
    }

    private void drain(CallerConnection connection) {
        connection.loop().execute(connection::drain);
    }

    private void finishIfEmpty() {
        if (draining && connections.isEmpty()) {
            empty.complete(null);
        }
    }
}
