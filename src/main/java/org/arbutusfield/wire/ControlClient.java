package org.arbutusfield.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.gen.ControlMessage;

/** Calls peers over one connection per peer, which is opened on first use and closed when idle. */
public final class ControlClient implements ControlTransport, AutoCloseable {
    private static final int SWEEPS_PER_PROGRESS_TIMEOUT = 4;

    private final Bootstrap bootstrap;
    private final TimerService timer;
    private final ControlLimits limits;
    private final TrafficCounter traffic = new TrafficCounter();
    private final Map<PeerAddress, PeerConnection> connections = new ConcurrentHashMap<>();
    private final TimerService.ScheduledTask sweep;

    private ControlClient(Bootstrap bootstrap, TimerService timer, ControlLimits limits) {
        this.bootstrap = bootstrap;
        this.timer = timer;
        this.limits = limits;
        this.sweep = timer.every(limits.progressTimeout().dividedBy(SWEEPS_PER_PROGRESS_TIMEOUT), this::sweep);
    }

    /**
     * Starts a client.
     *
     * @param group network threads, owned by the caller
     * @param timer measures the timeouts
     * @param limits limits of the connections
     */
    public static ControlClient start(EventLoopGroup group, TimerService timer, ControlLimits limits) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        limits.connectTimeout().toMillis())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(ControlLimits.SEND_BUFFER_BYTES / 2, ControlLimits.SEND_BUFFER_BYTES));
        return new ControlClient(bootstrap, timer, limits);
    }

    @Override
    public CompletableFuture<Either<Failure, ControlMessage>> call(
            PeerAddress peer, ControlMessage message, Duration timeout) {
        return connection(peer).call(message, timeout);
    }

    /**
     * Sends a message that expects no response.
     *
     * @return immediately, whether the message was written to a connection or queued; {@code Right} does not mean that
     *     it arrived
     */
    public Either<Failure, PeerAddress> send(PeerAddress peer, ControlMessage message) {
        return connection(peer).send(message).map(queued -> peer);
    }

    /** Traffic counts over all connections. */
    public TrafficCounter traffic() {
        return traffic;
    }

    /** Number of peers with a connection or queued messages. */
    public int peers() {
        return connections.size();
    }

    /** Closes every connection; calls in flight fail with {@code PEER_LOST}. */
    @Override
    public void close() {
        sweep.cancel();
        connections.values().forEach(PeerConnection::close);
        connections.clear();
    }

    private PeerConnection connection(PeerAddress peer) {
        return connections.computeIfAbsent(
                peer, address -> new PeerConnection(address, bootstrap, traffic, timer, limits));
    }

    private void sweep() {
        long nowNanos = timer.nowNanos();
        connections.values().forEach(connection -> connection.sweep(nowNanos));
        connections.values().removeIf(connection -> connection.isRemovable(nowNanos));
    }
}
