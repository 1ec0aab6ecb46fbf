package org.arbutusfield.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Supplier;
import jdk.net.ExtendedSocketOptions;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;

/**
 * Sends small HTTP requests, each on a new connection or on one that has already carried a response.
 *
 * <p>A connection is reused only after a complete response, and only for a limited idle time. A connection without a
 * response in time is closed. If the peer had closed a reused connection, a {@code GET} is retried once on a new one.
 *
 * <p>Errors: {@code PEER_UNREACHABLE} if no connection could be established (not run); {@code PEER_TIMEOUT} and
 * {@code PEER_PROTOCOL} after that, {@code PEER_INCOMPLETE} once the response has begun (outcome unknown).
 */
public final class HttpClient {
    private static final int KEEPALIVE_PROBE_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 1;

    private final EventLoopGroup group;
    private final Duration connectTimeout;
    private final Duration maxIdle;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

    private HttpClient(EventLoopGroup group, Duration connectTimeout, Duration maxIdle) {
        this.group = group;
        this.connectTimeout = connectTimeout;
        this.maxIdle = maxIdle;
    }

    /** A client on the given event loops that opens a connection for each request. */
    public static HttpClient create(EventLoopGroup group, Duration connectTimeout) {
        return new HttpClient(group, connectTimeout, Duration.ZERO);
    }

    /**
     * A client on the given event loops that reuses connections.
     *
     * @param group event loops
     * @param connectTimeout maximum time to establish a connection
     * @param maxIdle maximum idle time of a connection that is reused; shorter than the peer's idle timeout
     */
    public static HttpClient reusingConnections(EventLoopGroup group, Duration connectTimeout, Duration maxIdle) {
        return new HttpClient(group, connectTimeout, maxIdle);
    }

    /**
     * Sends the request and completes the future with the complete response.
     *
     * @param address address of the server
     * @param request request to send
     * @param timeout maximum time until the last byte of the response
     * @return future that never completes exceptionally
     */
    public CompletableFuture<Either<Failure, SimpleHttpResponse>> call(
            InetSocketAddress address, SimpleHttpRequest request, Duration timeout) {
        return call(address, request, WholeResponse::create, timeout);
    }

    /**
     * Sends the request and reads the response while it arrives.
     *
     * @param address address of the server
     * @param request request to send
     * @param readers creates the reader of a response; asked again if the request is retried
     * @param timeout maximum time until the last byte of the response
     * @return future that never completes exceptionally
     */
    public <T> CompletableFuture<Either<Failure, T>> call(
            InetSocketAddress address,
            SimpleHttpRequest request,
            Supplier<? extends ResponseReader<T>> readers,
            Duration timeout) {
        ClientConnection idleConnection = takeIdle(address);
        if (idleConnection == null) {
            return callOnNewConnection(address, request, readers, timeout);
        }
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        long start = System.nanoTime();
        send(idleConnection, address, request, readers, timeout).whenComplete(Handled.by(response -> {
            Duration remaining = timeout.minusNanos(System.nanoTime() - start);
            boolean connectionClosed = response.isLeft() && response.getLeft().code() == ErrorCode.PEER_PROTOCOL;
            if (connectionClosed && request.method().equals("GET") && !remaining.isNegative()) {
                callOnNewConnection(address, request, readers, remaining).whenComplete(Handled.by(result::complete));
            } else {
                result.complete(response);
            }
        }));
        return result;
    }

    private <T> CompletableFuture<Either<Failure, T>> callOnNewConnection(
            InetSocketAddress address,
            SimpleHttpRequest request,
            Supplier<? extends ResponseReader<T>> readers,
            Duration timeout) {
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        int connectMillis = (int) Math.min(connectTimeout.toMillis(), timeout.toMillis());
        StrictResponseDecoder decoder = StrictResponseDecoder.create();
        ClientConnection connection = ClientConnection.of(decoder);
        bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectMillis))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        send(connection, address, request, readers, timeout).whenComplete(Handled.by(result::complete));
                    } else {
                        result.complete(Either.left(Failure.of(ErrorCode.PEER_UNREACHABLE, address.toString())));
                    }
                });
        return result;
    }

    /**
     * Enables TCP keep-alive probes for reused connections, because a request on a dead connection may otherwise wait
     * for a long time.
     */
    private Bootstrap bootstrap() {
        Bootstrap bootstrap = new Bootstrap();
        if (!maxIdle.isZero()) {
            bootstrap
                    .option(ChannelOption.SO_KEEPALIVE, true)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_PROBE_SECONDS)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_PROBE_SECONDS)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
        }
        return bootstrap;
    }

    private <T> CompletableFuture<Either<Failure, T>> send(
            ClientConnection connection,
            InetSocketAddress address,
            SimpleHttpRequest request,
            Supplier<? extends ResponseReader<T>> readers,
            Duration timeout) {
        boolean keepAlive = !maxIdle.isZero();
        return connection
                .send(address, request, readers.get(), timeout, keepAlive)
                .thenApply(response -> {
                    if (keepAlive && response.isRight() && connection.reusable()) {
                        idle.computeIfAbsent(address, a -> new ConcurrentLinkedDeque<>())
                                .push(connection);
                    } else {
                        connection.close();
                    }
                    return response;
                });
    }

    private ClientConnection takeIdle(InetSocketAddress address) {
        Deque<ClientConnection> connections = idle.get(address);
        ClientConnection newest = connections == null ? null : connections.poll();
        while (newest != null && !newest.idleForLessThan(maxIdle)) {
            newest.close();
            newest = connections.poll();
        }
        return newest;
    }
}
