package org.arbutusfield.proxy.upstream;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The connection pools of one host, one for each address. */
public final class ConnectionPools implements AutoCloseable {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

    private final Duration connectTimeout;
    private final UpstreamRestartListener restartListener;
    private final Map<InetSocketAddress, ConnectionPool> pools = new ConcurrentHashMap<>();
    private Future<?> sweepTask;

    private ConnectionPools(Duration connectTimeout, UpstreamRestartListener restartListener) {
        this.connectTimeout = connectTimeout;
        this.restartListener = restartListener;
    }

    /**
     * Creates pools whose idle connections are closed after the idle timeout.
     *
     * @param group event loops, one of which runs the periodic clean-up
     * @param connectTimeout maximum time to connect
     * @param restartListener receives signs that an upstream may have restarted
     */
    public static ConnectionPools start(
            EventLoopGroup group, Duration connectTimeout, UpstreamRestartListener restartListener) {
        ConnectionPools pools = new ConnectionPools(connectTimeout, restartListener);
        pools.sweepTask = group.next()
                .scheduleWithFixedDelay(
                        () -> pools.closeIdleSince(System.nanoTime() - IDLE_TIMEOUT.toNanos()),
                        SWEEP_PERIOD.toNanos(),
                        SWEEP_PERIOD.toNanos(),
                        TimeUnit.NANOSECONDS);
        return pools;
    }

    /** The pool of connections to the address. */
    public ConnectionPool pool(InetSocketAddress address) {
        return pool(address, Optional.empty());
    }

    /**
     * The pool of connections to the address.
     *
     * @param address the address
     * @param source IP address from which they come; if empty, the system chooses it
     */
    public ConnectionPool pool(InetSocketAddress address, Optional<InetAddress> source) {
        ConnectionPool existing = pools.get(address);
        return existing != null
                ? existing
                : pools.computeIfAbsent(
                        address, key -> new ConnectionPool(key, source, connectTimeout, restartListener));
    }

    /**
     * Returns true if a connection to the address, which is still open, was opened before a monotonic time and has
     * received bytes after another one.
     */
    public boolean connectionSpans(InetSocketAddress address, long openedBeforeNanos, long receivedAfterNanos) {
        ConnectionPool pool = pools.get(address);
        return pool != null && pool.connectionSpans(openedBeforeNanos, receivedAfterNanos);
    }

    /** Connections to all addresses that are open or being opened. */
    public int open() {
        return pools.values().stream().mapToInt(ConnectionPool::open).sum();
    }

    /** Idle connections to all addresses. */
    public int idle() {
        return pools.values().stream().mapToInt(ConnectionPool::idle).sum();
    }

    @Override
    public void close() {
        sweepTask.cancel(false);
        pools.values().forEach(pool -> pool.closeIdle(connection -> true));
    }

    private void closeIdleSince(long nanos) {
        pools.values().forEach(pool -> pool.closeIdle(c -> c.idleSinceNanos() - nanos < 0));
    }
}
