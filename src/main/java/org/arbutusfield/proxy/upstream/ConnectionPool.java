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
import java.net.InetAddress;
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
import org.arbutusfield.http.PacedDecoding;
import org.arbutusfield.misc.Handled;

/**
 * The connections of this host to one address. The pool's state is guarded by its own lock. Each connection stays on
 * one event loop, and a request uses only connections of its own loop, so that no message crosses threads.
 *
 * <p>The connection limit applies to all loops together. If it is reached and no idle connection of the loop is usable,
 * the longest idle connection of any loop is closed, and the new one is opened after that. The most recently used idle
 * connections are taken first, so that few stay in use and the others reach the idle timeout.
 */
public final class ConnectionPool {
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 64 << 10);

    private final InetSocketAddress address;
    private final Optional<InetAddress> source;
    private final Duration connectTimeout;
    private final UpstreamRestartListener restartListener;
    private final Object lock = new Object();
    private final Map<EventLoop, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Set<UpstreamConnection> connected = new HashSet<>();
    private int connecting;
    private int limit;
    private boolean reachable = true;

    ConnectionPool(
            InetSocketAddress address,
            Optional<InetAddress> source,
            Duration connectTimeout,
            UpstreamRestartListener restartListener) {
        this.address = address;
        this.source = source;
        this.connectTimeout = connectTimeout;
        this.restartListener = restartListener;
    }

    /**
     * Takes an idle connection of the loop, or opens a new one.
     *
     * @param loop event loop of the request; the method must be called on it
     * @param connections maximum number of connections to the address, at least 1
     * @param usable selects the idle connections that the request may use
     * @param callback receives on the loop the connection, {@code CONNECTION_LIMIT} or {@code UPSTREAM_CONNECT}; both
     *     failures mean that nothing was sent
     */
    public void acquire(
            EventLoop loop,
            int connections,
            Predicate<UpstreamConnection> usable,
            Consumer<Either<Failure, UpstreamConnection>> callback) {
        Optional<UpstreamConnection> ready;
        Optional<UpstreamConnection> evicted = Optional.empty();
        boolean belowLimit;
        synchronized (lock) {
            limit = connections;
            ready = pollIdle(idle.getOrDefault(loop, new ArrayDeque<>()), usable);
            belowLimit = connected.size() + connecting < limit;
            if (ready.isEmpty() && !belowLimit) {
                evicted = pollOldestIdle();
            }
            if (ready.isEmpty() && (belowLimit || evicted.isPresent())) {
                connecting++;
            }
        }
        if (ready.isPresent()) {
            callback.accept(Either.right(ready.get()));
        } else if (evicted.isPresent()) {
            evicted.get().close().addListener(closed -> loop.execute(() -> connect(loop, callback)));
        } else if (belowLimit) {
            connect(loop, callback);
        } else {
            callback.accept(Either.left(Failure.of(ErrorCode.CONNECTION_LIMIT, address.toString())));
        }
    }

    /** Connections that are open or being opened. */
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

    /** Connections that are being opened or carry a request. */
    public int inUse() {
        synchronized (lock) {
            return open() - idle();
        }
    }

    /**
     * Closes the matching idle connections, for example after another connection to the address became unresponsive.
     */
    public void closeIdle(Predicate<UpstreamConnection> matching) {
        List<UpstreamConnection> closing = new ArrayList<>();
        synchronized (lock) {
            for (Deque<UpstreamConnection> connections : idle.values()) {
                connections.stream().filter(matching).forEach(closing::add);
                connections.removeAll(closing);
            }
        }
        closing.forEach(UpstreamConnection::close);
    }

    /**
     * Finds out whether the upstream has ended, after a connection to it was lost: it refuses a new connection, and no
     * other one is open. A new connection that hangs tells nothing, and neither does a refusal by an upstream that
     * keeps others open.
     *
     * @param loop event loop on which the callback runs
     * @param callback receives true if the upstream has ended
     */
    public void checkEnded(EventLoop loop, Consumer<Boolean> callback) {
        PortProbe.of(loop, connectTimeout).connect(address).whenComplete(Handled.by(result -> {
            boolean othersOpen;
            synchronized (lock) {
                othersOpen = !connected.isEmpty();
            }
            callback.accept(result == UpstreamProbe.Result.REFUSED && !othersOpen);
        }));
    }

    /** True if an open connection was opened before a monotonic time and has received bytes after another one. */
    boolean connectionSpans(long openedBeforeNanos, long receivedAfterNanos) {
        synchronized (lock) {
            return connected.stream().anyMatch(c -> c.spans(openedBeforeNanos, receivedAfterNanos));
        }
    }

    void release(UpstreamConnection connection) {
        connection.markIdle(System.nanoTime());
        boolean kept;
        synchronized (lock) {
            kept = connected.contains(connection) && connected.size() <= limit;
            if (kept) {
                idle.computeIfAbsent(connection.channel().eventLoop(), loop -> new ArrayDeque<>())
                        .push(connection);
            }
        }
        if (!kept) {
            connection.close();
        }
    }

    /**
     * Called when a connection was closed.
     *
     * @param connection the connection
     * @param lost whether the upstream closed it although it was in use until shortly before
     */
    void closed(UpstreamConnection connection, boolean lost) {
        synchronized (lock) {
            connected.remove(connection);
            Deque<UpstreamConnection> idleOfLoop = idle.get(connection.channel().eventLoop());
            if (idleOfLoop != null) {
                idleOfLoop.remove(connection);
            }
        }
        if (lost) {
            restartListener.mayHaveRestarted(address);
        }
    }

    private Optional<UpstreamConnection> pollIdle(
            Deque<UpstreamConnection> connections, Predicate<UpstreamConnection> usable) {
        Iterator<UpstreamConnection> newestFirst = connections.iterator();
        while (newestFirst.hasNext()) {
            UpstreamConnection connection = newestFirst.next();
            if (connection.open() && usable.test(connection)) {
                newestFirst.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private Optional<UpstreamConnection> pollOldestIdle() {
        Optional<UpstreamConnection> oldest = idle.values().stream()
                .flatMap(connections -> Optional.ofNullable(connections.peekLast()).stream())
                .min(Comparator.comparingLong(UpstreamConnection::idleSinceNanos));
        oldest.ifPresent(
                connection -> idle.get(connection.channel().eventLoop()).remove(connection));
        return oldest;
    }

    private void connect(EventLoop loop, Consumer<Either<Failure, UpstreamConnection>> callback) {
        UpstreamResponseDecoder decoder = UpstreamResponseDecoder.create();
        UpstreamConnection connection = new UpstreamConnection(this, decoder);
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                // A failed write must not discard a response that was received before it.
                .option(ChannelOption.AUTO_CLOSE, false)
                // Tells the upstream's end of input from an error and from a close by this host.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(PacedDecoding.of(decoder))
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(address, source.map(ip -> new InetSocketAddress(ip, 0)).orElse(null));
        opened.addListener(done -> {
            boolean changed;
            synchronized (lock) {
                connecting--;
                if (done.isSuccess()) {
                    connected.add(connection);
                }
                changed = reachable != done.isSuccess();
                reachable = done.isSuccess();
            }
            if (changed) {
                restartListener.mayHaveRestarted(address);
            }
            callback.accept(
                    done.isSuccess()
                            ? Either.right(connection)
                            : Either.left(Failure.of(ErrorCode.UPSTREAM_CONNECT, address.toString())));
        });
    }
}
