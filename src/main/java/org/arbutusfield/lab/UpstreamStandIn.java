package org.arbutusfield.lab;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.SimpleHttpRequest;
import org.arbutusfield.timer.TimerService;

/**
 * An upstream with a fixed number of slots and with injectable faults. When all slots are busy, it sheds requests with
 * 503 and {@code x-not-run: true}. Otherwise it responds after its service time with its name and the request's method,
 * target and body. {@code GET /blob/LENGTH} returns that many bytes with a strong entity tag, and supports range
 * requests.
 */
public final class UpstreamStandIn implements AutoCloseable {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final String name;
    private final int slots;
    private final TimerService timer;
    private final AtomicInteger busy = new AtomicInteger();
    private final AtomicInteger peakConnections = new AtomicInteger();
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong sheds = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> keyRuns = new ConcurrentHashMap<>();
    private final Set<StandInConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile ServiceTimes serviceTimes;
    private volatile FaultPlan faultPlan = (request, number) -> Fault.NONE;
    private volatile Predicate<SimpleHttpRequest> heldRequests = request -> false;
    private volatile Duration readPause = Duration.ZERO;
    private volatile boolean echoesRequestIds = true;
    private volatile String entityTag = "\"v1\"";
    private Channel listener;

    private UpstreamStandIn(String name, int slots, ServiceTimes serviceTimes, TimerService timer) {
        this.name = name;
        this.slots = slots;
        this.serviceTimes = serviceTimes;
        this.timer = timer;
    }

    /** Chooses the fault of each request. */
    @FunctionalInterface
    public interface FaultPlan {
        /**
         * Returns the fault of one request.
         *
         * @param request the request without its body
         * @param number number of requests received before it
         */
        Fault faultOf(SimpleHttpRequest request, long number);
    }

    /** Starts a server on the address. */
    public static Either<Failure, UpstreamStandIn> bind(
            EventLoopGroup group,
            InetSocketAddress address,
            String name,
            int slots,
            Duration serviceTime,
            TimerService timer) {
        UpstreamStandIn server = new UpstreamStandIn(name, slots, ServiceTimes.fixed(serviceTime), timer);
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        server.accept(child);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            return Either.left(Failure.of(ErrorCode.ADDRESS_IN_USE, address.toString()));
        }
        server.listener = bound.channel();
        return Either.right(server);
    }

    /** The address that was bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns how often the request with this id or idempotency key was run. */
    public int runs(String idOrKey) {
        AtomicInteger count = runs.get(idOrKey);
        return count == null ? 0 : count.get();
    }

    /** Returns how often each idempotency key was run. */
    public Map<String, Integer> keyRuns() {
        return Map.copyOf(keyRuns);
    }

    /** Requests shed because all slots were busy. */
    public long sheds() {
        return sheds.get();
    }

    /** Request heads received. */
    public long received() {
        return received.get();
    }

    /** Requests whose connection was closed before they were answered. */
    public long cancelled() {
        return cancelled.get();
    }

    /** Requests that are running. */
    public int runningRequests() {
        return busy.get();
    }

    /** Open connections. */
    public int connections() {
        return connections.size();
    }

    /** Largest number of connections that were open at the same time. */
    public int peakConnections() {
        return peakConnections.get();
    }

    /** Lets the plan choose the faults of all later requests. */
    public void injectFaults(FaultPlan plan) {
        faultPlan = plan;
    }

    /** Sets the service times of all later requests. */
    public void serviceTimes(ServiceTimes times) {
        serviceTimes = times;
    }

    /** Runs matching requests and withholds their responses until {@link #releaseHeldResponses()}. */
    public void holdResponses(Predicate<SimpleHttpRequest> which) {
        heldRequests = which;
    }

    /** Sends the withheld responses, and withholds no more. */
    public void releaseHeldResponses() {
        heldRequests = request -> false;
        connections.forEach(StandInConnection::releaseHeldResponses);
    }

    /** Pauses for this time after each read from a connection. */
    public void readPause(Duration pause) {
        readPause = pause;
    }

    /** Sets whether responses carry the id of the request. */
    public void echoRequestIds(boolean echoes) {
        echoesRequestIds = echoes;
    }

    /** Sets the entity tag of blobs, including its quotes. */
    public void entityTag(String tag) {
        entityTag = tag;
    }

    /** Stops reading from and writing to all open connections; new connections work. */
    public void silenceOpenConnections() {
        connections.forEach(StandInConnection::silence);
    }

    /** Closes all open connections; new connections work. */
    public void dropConnections() {
        connections.forEach(StandInConnection::close);
    }

    /** Stops accepting connections; open connections keep working. */
    public void stopAccepting() {
        listener.close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        connections.forEach(StandInConnection::close);
    }

    String name() {
        return name;
    }

    TimerService timer() {
        return timer;
    }

    Duration readPause() {
        return readPause;
    }

    boolean echoesRequestIds() {
        return echoesRequestIds;
    }

    String entityTag() {
        return entityTag;
    }

    boolean holds(SimpleHttpRequest request) {
        return heldRequests.test(request);
    }

    Fault faultOf(SimpleHttpRequest request) {
        return faultPlan.faultOf(request, received.getAndIncrement());
    }

    Duration serviceTime() {
        return serviceTimes.forRequest(received.get() - 1);
    }

    boolean occupySlot() {
        if (busy.incrementAndGet() > slots) {
            busy.decrementAndGet();
            sheds.incrementAndGet();
            return false;
        }
        return true;
    }

    void freeSlot() {
        busy.decrementAndGet();
    }

    void countRun(SimpleHttpRequest request) {
        request.header("x-request-id").ifPresent(this::countRun);
        request.header("idempotency-key").ifPresent(this::countRun);
        request.header("idempotency-key").ifPresent(key -> keyRuns.merge(key, 1, Integer::sum));
    }

    void countCancelled() {
        cancelled.incrementAndGet();
    }

    void onConnectionClosed(StandInConnection connection) {
        connections.remove(connection);
    }

    private void countRun(String idOrKey) {
        runs.computeIfAbsent(idOrKey, key -> new AtomicInteger()).incrementAndGet();
    }

    private void accept(SocketChannel child) {
        StandInConnection connection = StandInConnection.of(this);
        child.pipeline()
                .addLast(new HttpRequestDecoder(new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)))
                .addLast(connection);
        // Only now it has a channel that another thread may close.
        connections.add(connection);
        peakConnections.accumulateAndGet(connections.size(), Math::max);
    }
}
