package org.arbutusfield.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import jdk.net.ExtendedSocketOptions;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Sends small whole HTTP requests, each on a connection of its own or on one that answered before.
 *
 * <p>A connection is used again only right after a whole answer, and for a while only. One that shows no answer in time
 * is closed. A {@code GET} that met a kept connection which the peer had closed is sent once more on a new one.
 *
 * <p>Errors: {@code PEER_UNREACHABLE} when no connection came about (not run); {@code PEER_TIMEOUT} and
 * {@code PEER_PROTOCOL} after that (outcome unknown).
 */
public final class HttpClient {
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final int PROBE_SECONDS = 1;
    private static final int PROBES = 1;

    private final EventLoopGroup group;
    private final Duration connectTimeout;
    private final Duration keepIdle;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

    private HttpClient(EventLoopGroup group, Duration connectTimeout, Duration keepIdle) {
        this.group = group;
        this.connectTimeout = connectTimeout;
        this.keepIdle = keepIdle;
    }

    /** A caller on the given event loops that opens a connection for each call. */
    public static HttpClient create(EventLoopGroup group, Duration connectTimeout) {
        return new HttpClient(group, connectTimeout, Duration.ZERO);
    }

    /**
     * A caller on the given event loops that uses connections again.
     *
     * @param group event loops
     * @param connectTimeout longest time to establish a connection
     * @param keepIdle how long a connection may have been idle to be used again; below the peer's idle timeout
     */
    public static HttpClient reusingConnections(EventLoopGroup group, Duration connectTimeout, Duration keepIdle) {
        return new HttpClient(group, connectTimeout, keepIdle);
    }

    /**
     * Sends the call and waits for the whole answer.
     *
     * @param address where to
     * @param call what to send
     * @param timeout from now to the last byte of the answer
     * @return a future that never fails
     */
    public CompletableFuture<Either<Failure, SimpleHttpResponse>> call(
            InetSocketAddress address, SimpleHttpRequest call, Duration timeout) {
        ClientConnection kept = takeIdle(address);
        if (kept == null) {
            return callOnNew(address, call, timeout);
        }
        CompletableFuture<Either<Failure, SimpleHttpResponse>> result = new CompletableFuture<>();
        long start = System.nanoTime();
        send(kept, address, call, timeout).thenAccept(answer -> {
            Duration left = timeout.minusNanos(System.nanoTime() - start);
            boolean closedBefore = answer.isLeft() && answer.getLeft().code() == ErrorCode.PEER_PROTOCOL;
            if (closedBefore && call.method().equals("GET") && !left.isNegative()) {
                callOnNew(address, call, left).thenAccept(result::complete);
            } else {
                result.complete(answer);
            }
        });
        return result;
    }

    private CompletableFuture<Either<Failure, SimpleHttpResponse>> callOnNew(
            InetSocketAddress address, SimpleHttpRequest call, Duration timeout) {
        CompletableFuture<Either<Failure, SimpleHttpResponse>> result = new CompletableFuture<>();
        int connectMillis = (int) Math.min(connectTimeout.toMillis(), timeout.toMillis());
        ClientConnection connection = new ClientConnection();
        bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectMillis))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(address)
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        send(connection, address, call, timeout).thenAccept(result::complete);
                    } else {
                        result.complete(Either.left(Failure.of(ErrorCode.PEER_UNREACHABLE, address.toString())));
                    }
                });
        return result;
    }

    /** A kept connection that went silent is shown by probes, since a call on it may wait for long. */
    private Bootstrap bootstrap() {
        Bootstrap bootstrap = new Bootstrap();
        if (!keepIdle.isZero()) {
            bootstrap
                    .option(ChannelOption.SO_KEEPALIVE, true)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
        }
        return bootstrap;
    }

    private CompletableFuture<Either<Failure, SimpleHttpResponse>> send(
            ClientConnection connection, InetSocketAddress address, SimpleHttpRequest call, Duration timeout) {
        boolean keep = !keepIdle.isZero();
        return connection.send(address, call, timeout, keep).thenApply(answer -> {
            if (keep && answer.isRight() && connection.reusable()) {
                idle.computeIfAbsent(address, a -> new ConcurrentLinkedDeque<>())
                        .push(connection);
            } else {
                connection.close();
            }
            return answer;
        });
    }

    private ClientConnection takeIdle(InetSocketAddress address) {
        Deque<ClientConnection> connections = idle.get(address);
        ClientConnection newest = connections == null ? null : connections.poll();
        while (newest != null && !newest.idleFor(keepIdle)) {
            newest.close();
            newest = connections.poll();
        }
        return newest;
    }
}
