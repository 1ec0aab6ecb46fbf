package org.arbutusfield.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.QuotaRequest;
import org.arbutusfield.wire.gen.QuotaResponse;

/**
 * Decides, while this host leads, which requests to limited upstreams may be sent.
 *
 * <p>Tokens accrue from the start of the term, and terms of different hosts don't overlap. The sum over all hosts and
 * terms therefore stays within the bound of one {@link TokenBucket} for each upstream.
 *
 * <p>Runs on one event loop.
 */
public final class QuotaServer {
    private static final Logger LOG = LogManager.getLogger(QuotaServer.class);
    private static final Duration SWEEP_PERIOD = Duration.ofMinutes(1);
    /** The rate may change at any time. */
    private static final Duration NO_RATE_RETRY = Duration.ofSeconds(1);

    private static final long NANOS_PER_MICRO = 1_000;

    private final LeaderTerm term;
    private final TimerService timer;
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private long bucketsTermNanos;

    private QuotaServer(LeaderTerm term, TimerService timer) {
        this.term = term;
        this.timer = timer;
    }

    /**
     * Starts to decide.
     *
     * @param term tells whether this host leads
     * @param timer monotonic clock
     */
    public static QuotaServer start(LeaderTerm term, TimerService timer) {
        QuotaServer server = new QuotaServer(term, timer);
        timer.every(SWEEP_PERIOD, server::discardUnused);
        return server;
    }

    /** Registers the handler for questions of other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(
                ControlMessage._Fields.QUOTA_REQUEST,
                message -> CompletableFuture.completedFuture(answer(message.getQuotaRequest())));
    }

    private Either<Failure, ControlMessage> answer(QuotaRequest request) {
        return decide(request.getUpstream(), request.getPerSecond())
                .map(decision -> ControlMessage.quotaResponse(new QuotaResponse(
                        decision.granted(), decision.retryAfter().toNanos() / NANOS_PER_MICRO)));
    }

    /** Decides about one request; fails with {@code NOT_LEADER}. */
    Either<Failure, QuotaDecision> decide(String upstream, double perSecond) {
        OptionalLong start = term.startNanos();
        if (start.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.NOT_LEADER, upstream));
        }
        if (!(perSecond > 0)) {
            return Either.right(QuotaDecision.refuse(NO_RATE_RETRY));
        }
        beginTerm(start.getAsLong());
        TokenBucket bucket = buckets.computeIfAbsent(upstream, name -> TokenBucket.emptyAt(bucketsTermNanos));
        if (bucket.lastPerSecond() != perSecond) {
            LOG.info("event=quota_rate id={} per_second={} before={}", upstream, perSecond, bucket.lastPerSecond());
        }
        OptionalLong wait = bucket.tryTake(perSecond, timer.nowNanos());
        return Either.right(
                wait.isEmpty() ? QuotaDecision.grant() : QuotaDecision.refuse(Duration.ofNanos(wait.getAsLong())));
    }

    private void beginTerm(long startNanos) {
        if (startNanos != bucketsTermNanos) {
            buckets.clear();
            bucketsTermNanos = startNanos;
        }
    }

    /** A bucket that was not used for so long is full, as a new one would be. */
    private void discardUnused() {
        long now = timer.nowNanos();
        buckets.values().removeIf(bucket -> now - bucket.updatedNanos() > SWEEP_PERIOD.toNanos());
    }
}
