package org.arbutusfield.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The connections of this host to one address. State is under the pool's own lock; each connection stays on one event
 * loop, and a request uses only connections of its own loop, so that no message crosses threads.
 *
 * <p>The limit holds over all loops. When it is reached and an idle connection cannot be used, that one is closed, and
 * the new one is opened once it is closed. Idle connections are taken newest first, so that few are kept in use and the
 * rest age out.
 */
public final class ConnectionPool {
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

    private final InetSocketAddress address;
    private final Duration connectTimeout;
    private final Object lock = new Object();
    private final Map<EventLoop, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Set<UpstreamConnection> connected = new HashSet<>();
    private int connecting;
    private int limit;

    ConnectionPool(InetSocketAddress address, Duration connectTimeout) {
        this.address = address;
        this.connectTimeout = connectTimeout;
    }

    /**
     * Takes an idle connection of the loop, or opens one.
     *
     * @param loop event loop of the request; this must be called on it
     * @param connections limit on connections to the address, 1 or more
     * @param fit which idle connections will do
     * @param taker gets the connection on the loop, or {@code CONNECTION_LIMIT} or {@code UPSTREAM_CONNECT}; both mean
     *     that nothing was sent
     */
    public void acquire(
            EventLoop loop,
            int connections,
            Predicate<UpstreamConnection> fit,
            Consumer<Either<Failure, UpstreamConnection>> taker) {
        Optional<UpstreamConnection> ready;
        Optional<UpstreamConnection> evicted = Optional.empty();
        boolean room;
        synchronized (lock) {
            limit = connections;
            ready = takeIdle(idle.getOrDefault(loop, new ArrayDeque<>()), fit);
            room = connected.size() + connecting < limit;
            if (ready.isEmpty() && !room) {
                evicted = takeOldestIdle();
            }
            if (ready.isEmpty() && (room || evicted.isPresent())) {
                connecting++;
            }
        }
        if (ready.isPresent()) {
            taker.accept(Either.right(ready.get()));
        } else if (evicted.isPresent()) {
            evicted.get().channel().close().addListener(closed -> loop.execute(() -> connect(loop, taker)));
        } else if (room) {
            connect(loop, taker);
        } else {
            taker.accept(Either.left(Failure.of(ErrorCode.CONNECTION_LIMIT, address.toString())));
        }
    }

    /** Connections open or opening. */
    public int open() {
        synchronized (lock) {
            return connected.size() + connecting;
        }
    }

    /** Idle connections. */
    public int idle() {
        synchronized (lock) {
            return idle.values().stream().mapToInt(Deque::size).sum();
        }
    }

    /** Closes the idle connections that match; used when one of their kind went silent. */
    public void closeIdle(Predicate<UpstreamConnection> which) {
        List<UpstreamConnection> closing = new ArrayList<>();
        synchronized (lock) {
            for (Deque<UpstreamConnection> connections : idle.values()) {
                connections.stream().filter(which).forEach(closing::add);
                connections.removeAll(closing);
            }
        }
        closing.forEach(connection -> connection.channel().close());
    }

    void giveBack(UpstreamConnection connection) {
        connection.becomeIdle(System.nanoTime());
        boolean kept;
        synchronized (lock) {
            kept = connected.contains(connection) && connected.size() <= limit;
            if (kept) {
                idle.computeIfAbsent(connection.channel().eventLoop(), loop -> new ArrayDeque<>())
                        .push(connection);
            }
        }
        if (!kept) {
            connection.channel().close();
        }
    }

    void closed(UpstreamConnection connection) {
        synchronized (lock) {
            connected.remove(connection);
            Deque<UpstreamConnection> own = idle.get(connection.channel().eventLoop());
            if (own != null) {
                own.remove(connection);
            }
        }
    }

    private Optional<UpstreamConnection> takeIdle(
            Deque<UpstreamConnection> connections, Predicate<UpstreamConnection> fit) {
        Iterator<UpstreamConnection> newestFirst = connections.iterator();
        while (newestFirst.hasNext()) {
            UpstreamConnection connection = newestFirst.next();
            if (connection.open() && fit.test(connection)) {
                newestFirst.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private Optional<UpstreamConnection> takeOldestIdle() {
        Optional<UpstreamConnection> oldest = idle.values().stream()
                .flatMap(connections -> Optional.ofNullable(connections.peekLast()).stream())
                .min(Comparator.comparingLong(UpstreamConnection::idleSinceNanos));
        oldest.ifPresent(
                connection -> idle.get(connection.channel().eventLoop()).remove(connection));
        return oldest;
    }

    private void connect(EventLoop loop, Consumer<Either<Failure, UpstreamConnection>> taker) {
        StrictResponseDecoder decoder = StrictResponseDecoder.create();
        UpstreamConnection connection = new UpstreamConnection(this, decoder);
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(address);
        opened.addListener(done -> {
            synchronized (lock) {
                connecting--;
                if (done.isSuccess()) {
                    connected.add(connection);
                }
            }
            taker.accept(
                    done.isSuccess()
                            ? Either.right(connection)
                            : Either.left(Failure.of(ErrorCode.UPSTREAM_CONNECT, address.toString())));
        });
    }
}
