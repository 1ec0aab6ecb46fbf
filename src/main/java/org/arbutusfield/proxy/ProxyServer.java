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
import org.arbutusfield.http.PacedDecoding;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.proxy.upstream.ConnectionPools;

/**
 * Listens on a host's caller port: answers paths under {@code /-/} itself and forwards requests for services to
 * upstreams or to hosts of other regions. Thread-safe.
 *
 * <p>For a graceful shutdown, call {@link #leave(Duration)}, wait until callers' cached look-ups have expired, then
 * call {@link #drain(Duration)} and {@link #close()}.
 */
public final class ProxyServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    /** Time for the last responses to leave the host, after all exchanges have ended. */
    private static final Duration FLUSH_TIME = Duration.ofMillis(250);

    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

    private final EventLoopGroup group;
    private final ProxyContext context;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> connectionsClosed = new CompletableFuture<>();
    private Channel listener;
    private volatile boolean draining;

    private ProxyServer(EventLoopGroup group, ProxyContext context) {
        this.group = group;
        this.context = context;
    }

    /** Opens the caller port of a host that places requests on its own; see {@link ProxyComponents#of}. */
    public static Either<Failure, ProxyServer> bind(
            EventLoopGroup group,
            InetSocketAddress address,
            String region,
            Supplier<Configuration> configurationInForce) {
        return bind(group, address, ProxyComponents.of(region, configurationInForce));
    }

    /**
     * Opens the caller port.
     *
     * @param group event loops for callers and upstreams
     * @param address address to bind; port 0 picks a free port
     * @param components the collaborators of the server
     * @return the server, or {@code ADDRESS_IN_USE}
     */
    public static Either<Failure, ProxyServer> bind(
            EventLoopGroup group, InetSocketAddress address, ProxyComponents components) {
        ConnectionPools pools = ConnectionPools.start(
                group, components.limits().get().connectTimeout(), components.observer()::upstreamMayHaveRestarted);
        ProxyServer server = new ProxyServer(group, ProxyContext.of(components, pools));
        ChannelFuture bound = server.bootstrap().bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            pools.close();
            return Either.left(Failure.of(ErrorCode.ADDRESS_IN_USE, address.toString()));
        }
        server.listener = bound.channel();
        server.context.bound(server.address().getAddress());
        return Either.right(server);
    }

    /** The bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Requests accepted and not yet finished. */
    public int inFlight() {
        return context.inFlight().get();
    }

    /** Open connections from callers. */
    public int connections() {
        return connections.size();
    }

    /** Connections to upstreams and other hosts, including those being opened. */
    public int upstreamConnections() {
        return context.pools().open();
    }

    /**
     * Returns true if a connection to an upstream, which is still open, was opened before a monotonic time and has
     * received bytes after another one.
     */
    public boolean connectionSpans(InetSocketAddress upstream, long openedBeforeNanos, long receivedAfterNanos) {
        return context.pools().connectionSpans(upstream, openedBeforeNanos, receivedAfterNanos);
    }

    /** Idle connections to upstreams and other hosts. */
    public int idleUpstreamConnections() {
        return context.pools().idle();
    }

    /** Bytes currently buffered for requests and responses. */
    public long bufferedBytes() {
        return context.headBuffers().held()
                + context.requestBuffers().held()
                + context.responseBuffers().held();
    }

    /** Sum of the peak bytes buffered for heads, for requests and for responses. */
    public long peakBufferedBytes() {
        return context.headBuffers().peak()
                + context.requestBuffers().peak()
                + context.responseBuffers().peak();
    }

    /**
     * Starts to stop: the host continues to serve, but closes each connection after its next response. Each request
     * that was received as a whole is answered within the limit: a request that can't be expected to be answered by an
     * upstream until then is refused, not run, as soon as that is known, and at the limit the others get a response
     * that doesn't state their outcome.
     *
     * @param limit time until all exchanges end; if called more than once, the earliest end holds
     */
    public void leave(Duration limit) {
        context.stop(HostStop.after(limit));
        connections.forEach(connection -> connection.loop().execute(connection::hostStops));
    }

    /**
     * Stops accepting connections, closes those without a request, and lets requests in progress finish.
     *
     * @param limit time until all exchanges end, as for {@link #leave}; the future completes shortly after it
     * @return future number of requests that the limit cut off from their upstream's response; 0 unless it passed
     */
    public CompletableFuture<Integer> drain(Duration limit) {
        leave(limit);
        draining = true;
        listener.close();
        connections.forEach(this::drain);
        completeIfDrained();
        CompletableFuture<Integer> drained = new CompletableFuture<>();
        connectionsClosed.thenRun(() -> drained.complete(unfinished()));
        group.next()
                .schedule(
                        () -> drained.complete(unfinished()),
                        limit.plus(FLUSH_TIME).toNanos(),
                        TimeUnit.NANOSECONDS);
        return drained;
    }

    /** Closes the port and all connections; requests in progress are aborted. */
    @Override
    public void close() {
        draining = true;
        listener.close().awaitUninterruptibly();
        connections.forEach(connection -> connection.loop().execute(connection::close));
        context.pools().close();
    }

    private int unfinished() {
        return context.cutByStop().get() + inFlight();
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
            completeIfDrained();
        });
        child.pipeline()
                .addLast(PacedDecoding.of(connection.decoder()))
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

    private void completeIfDrained() {
        if (draining && connections.isEmpty()) {
            connectionsClosed.complete(null);
        }
    }
}
