package org.arbutusfield.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.Envelope;

/**
 * The client side of the connection to one peer, across reconnects.
 *
 * <p>Problem: a connection whose state was lost on the path between the peers accepts bytes forever and returns none,
 * while a new connection would work. Idea: a connection that has unanswered requests and received nothing for the
 * progress timeout is closed, and the next call opens a new one. Calls are never moved to another connection, because
 * the peer may have run them.
 *
 * <p>State is guarded by this object's lock; futures are completed outside of it.
 */
final class PeerConnection {
    private static final Logger LOG = LogManager.getLogger(PeerConnection.class);
    private static final long NONE = Long.MIN_VALUE;

    private final PeerAddress peer;
    private final Bootstrap bootstrap;
    private final TimerService timer;
    private final ControlLimits limits;
    private final Map<Long, Call> inFlight = new HashMap<>();
    private final Deque<byte[]> queued = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long nextCorrelationId = 1;
    private long retryAtNanos = NONE;
    private Duration backoff;
    private long unansweredSinceNanos = NONE;
    private long lastUseNanos;

    PeerConnection(
            PeerAddress peer, Bootstrap bootstrap, TrafficCounter traffic, TimerService timer, ControlLimits limits) {
        this.peer = peer;
        this.bootstrap = bootstrap.clone();
        this.timer = timer;
        this.limits = limits;
        this.backoff = limits.initialBackoff();
        this.lastUseNanos = timer.nowNanos();
        this.bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                FrameCodec.install(opened.pipeline(), traffic);
                opened.pipeline().addLast(new ClientChannelHandler(PeerConnection.this));
            }
        });
    }

    CompletableFuture<Either<Failure, ControlMessage>> call(ControlMessage message, Duration timeout) {
        CompletableFuture<Either<Failure, ControlMessage>> result = new CompletableFuture<>();
        Either<Failure, Long> sent = start(message, result);
        if (sent.isLeft()) {
            result.complete(Either.left(sent.getLeft()));
            return result;
        }
        TimerService.ScheduledTask expiry = timer.after(timeout, () -> expire(sent.get()));
        return result.whenComplete((outcome, fault) -> expiry.cancel());
    }

    Either<Failure, Long> send(ControlMessage message) {
        return EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.ONE_WAY, 0, message))
                .flatMap(this::write);
    }

    /** Completes the call to which a response belongs. */
    void onEnvelope(Channel from, Envelope envelope) {
        Call call;
        synchronized (this) {
            call = inFlight.remove(envelope.getCorrelationId());
            if (from == channel) {
                unansweredSinceNanos = inFlight.isEmpty() ? NONE : timer.nowNanos();
            }
        }
        if (call == null) {
            return;
        }
        call.result.complete(decodeResponse(envelope));
    }

    /** Fails every call in flight if the closed channel is the current one. */
    void onChannelClosed(Channel closedChannel) {
        List<Call> failed = List.of();
        synchronized (this) {
            if (closedChannel == channel) {
                channel = null;
                unansweredSinceNanos = NONE;
                failed = removeAllCalls();
            }
        }
        fail(failed, ErrorCode.PEER_LOST);
    }

    /**
     * Closes the connection when it received nothing for too long while requests are unanswered, and when it is idle.
     */
    void sweep(long nowNanos) {
        Channel stale = null;
        synchronized (this) {
            boolean silent = unansweredSinceNanos != NONE
                    && nowNanos - unansweredSinceNanos
                            >= limits.progressTimeout().toNanos();
            boolean idle = inFlight.isEmpty()
                    && nowNanos - lastUseNanos >= limits.idleTimeout().toNanos();
            if (channel != null && (silent || idle)) {
                stale = channel;
                if (silent) {
                    LOG.warn("event=control_connection_silent peer={}", peer);
                }
            }
        }
        if (stale != null) {
            onChannelClosed(stale);
            Channels.close(stale);
        }
    }

    synchronized boolean isRemovable(long nowNanos) {
        return channel == null
                && !connecting
                && inFlight.isEmpty()
                && nowNanos - lastUseNanos >= limits.idleTimeout().toNanos();
    }

    void close() {
        Channel last;
        List<Call> failed;
        synchronized (this) {
            closed = true;
            last = channel;
            channel = null;
            failed = removeAllCalls();
        }
        if (last != null) {
            Channels.close(last);
        }
        fail(failed, ErrorCode.PEER_LOST);
    }

    private Either<Failure, Long> start(
            ControlMessage message, CompletableFuture<Either<Failure, ControlMessage>> result) {
        long id;
        synchronized (this) {
            id = nextCorrelationId++;
            inFlight.put(id, new Call(result));
        }
        Either<Failure, Long> sent = EnvelopeCodec.encode(EnvelopeCodec.envelope(EnvelopeKind.REQUEST, id, message))
                .flatMap(this::write)
                .map(written -> id);
        synchronized (this) {
            if (sent.isLeft()) {
                inFlight.remove(id);
            } else if (channel != null && unansweredSinceNanos == NONE && inFlight.containsKey(id)) {
                unansweredSinceNanos = timer.nowNanos();
            }
        }
        return sent;
    }

    private Either<Failure, Long> write(byte[] frame) {
        synchronized (this) {
            lastUseNanos = timer.nowNanos();
            if (closed || (channel == null && !connecting && lastUseNanos < retryAtNanos)) {
                return Either.left(Failure.of(ErrorCode.PEER_UNREACHABLE, peer.toString()));
            }
            boolean full = channel == null ? queued.size() >= limits.maxQueued() : !channel.isWritable();
            if (full) {
                return Either.left(Failure.of(ErrorCode.PEER_BUSY, peer.toString()));
            }
            if (channel != null) {
                Channels.send(channel, frame);
                return Either.right((long) frame.length);
            }
            queued.add(frame);
            if (connecting) {
                return Either.right((long) frame.length);
            }
            connecting = true;
        }
        ChannelFuture unused = bootstrap
                .connect(peer.host(), peer.port())
                .addListener((ChannelFuture attempt) -> onConnectAttempt(attempt));
        return Either.right((long) frame.length);
    }

    private void onConnectAttempt(ChannelFuture attempt) {
        List<Call> failed = List.of();
        boolean usable;
        synchronized (this) {
            connecting = false;
            usable = attempt.isSuccess() && !closed;
            if (usable) {
                useChannel(attempt.channel());
            } else {
                retryAtNanos = timer.nowNanos() + backoff.toNanos();
                backoff = nextBackoff(backoff);
                failed = removeAllCalls();
            }
        }
        if (!usable) {
            Channels.close(attempt.channel());
        }
        fail(failed, ErrorCode.PEER_UNREACHABLE);
    }

    private void useChannel(Channel opened) {
        channel = opened;
        backoff = limits.initialBackoff();
        retryAtNanos = NONE;
        for (byte[] frame : queued) {
            Channels.send(opened, frame);
        }
        queued.clear();
        if (!inFlight.isEmpty()) {
            unansweredSinceNanos = timer.nowNanos();
        }
    }

    private List<Call> removeAllCalls() {
        List<Call> failed = new ArrayList<>(inFlight.values());
        inFlight.clear();
        queued.clear();
        return failed;
    }

    private void expire(long correlationId) {
        Call call;
        synchronized (this) {
            call = inFlight.remove(correlationId);
        }
        if (call != null) {
            fail(List.of(call), ErrorCode.PEER_TIMEOUT);
        }
    }

    private void fail(List<Call> calls, ErrorCode code) {
        for (Call call : calls) {
            call.result.complete(Either.left(Failure.of(code, peer.toString())));
        }
    }

    private Duration nextBackoff(Duration wait) {
        Duration doubled = wait.multipliedBy(2);
        return doubled.compareTo(limits.maxBackoff()) > 0 ? limits.maxBackoff() : doubled;
    }

    private Either<Failure, ControlMessage> decodeResponse(Envelope envelope) {
        ControlMessage message = envelope.getMessage();
        if (message == null || !message.isSet()) {
            return Either.left(Failure.of(ErrorCode.MESSAGE_UNKNOWN, peer.toString()));
        }
        if (message.isSetRefusal()) {
            return Either.left(RefusalCodec.decode(message.getRefusal()));
        }
        return Either.right(message);
    }

    private record Call(CompletableFuture<Either<Failure, ControlMessage>> result) {}
}
