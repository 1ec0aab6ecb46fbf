package org.arbutusfield.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.LimitReportReceived;

/**
 * Decides, while this host leads, which requests to limited upstreams may be sent, and knows the limits that upstreams
 * have named.
 *
 * <p>Tokens accrue from the start of the term, and terms of different hosts don't overlap. The sum over all hosts and
 * terms therefore stays within the bound of one {@link TokenBucket} for each upstream. The rate at which they accrue is
 * the one in {@link LimitRegister}, whatever the asking host believes.
 *
 * <p>Runs on one event loop.
 */
public final class QuotaServer {
    private static final Logger LOG = LogManager.getLogger(QuotaServer.class);
    private static final Duration SWEEP_PERIOD = Duration.ofMinutes(1);
    /** The rate may change at any time. */
    private static final Duration NO_RATE_RETRY = Duration.ofSeconds(1);

    private final LeaderTerm term;
    private final LimitAnnouncer announcer;
    private final TimerService timer;
    private final RandomGenerator random;
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private LimitRegister limits = LimitRegister.create(0);
    /** Start of the term that the buckets and limits belong to. */
    private OptionalLong begunTermNanos = OptionalLong.empty();

    private QuotaServer(LeaderTerm term, LimitAnnouncer announcer, TimerService timer, RandomGenerator random) {
        this.term = term;
        this.announcer = announcer;
        this.timer = timer;
        this.random = random;
    }

    /**
     * Starts to decide.
     *
     * @param term tells whether this host leads
     * @param announcer tells the other hosts of limits that begin
     * @param timer monotonic clock
     * @param random source of the numbers of terms
     */
    public static QuotaServer start(
            LeaderTerm term, LimitAnnouncer announcer, TimerService timer, RandomGenerator random) {
        QuotaServer server = new QuotaServer(term, announcer, timer, random);
        timer.every(SWEEP_PERIOD, server::discardUnused);
        return server;
    }

    /** Registers the handlers for questions and reports of other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(
                ControlMessage._Fields.QUOTA_REQUEST,
                message -> CompletableFuture.completedFuture(decide(QuotaQuestion.decode(message.getQuotaRequest()))
                        .map(decision -> ControlMessage.quotaResponse(decision.encode()))));
        handlers.register(
                ControlMessage._Fields.LIMIT_REPORT,
                message -> CompletableFuture.completedFuture(report(
                                UpstreamLimit.decode(message.getLimitReport().getLimit()))
                        .map(limit -> ControlMessage.limitReportReceived(new LimitReportReceived(limit.encode())))));
    }

    /** Decides about one request; fails with {@code NOT_LEADER}. */
    Either<Failure, QuotaDecision> decide(QuotaQuestion question) {
        if (!beginTerm()) {
            return Either.left(Failure.of(ErrorCode.NOT_LEADER, question.upstream()));
        }
        question.limit().filter(limits::believed).ifPresent(belief -> announce(belief.upstream()));
        UpstreamLimit limit = question.limit()
                .map(belief -> limits.limit(belief.upstream()))
                .orElseGet(() -> limits.limit(question.upstream()));
        OptionalDouble rate = rate(question, limit);
        if (rate.isEmpty()) {
            return Either.right(QuotaDecision.grant(limit));
        }
        if (!(rate.getAsDouble() > 0)) {
            return Either.right(QuotaDecision.refuse(NO_RATE_RETRY, limit));
        }
        OptionalLong wait = takeToken(question.upstream(), rate.getAsDouble());
        return Either.right(
                wait.isEmpty()
                        ? QuotaDecision.grant(limit)
                        : QuotaDecision.refuse(Duration.ofNanos(wait.getAsLong()), limit));
    }

    /** Takes into account what a response said, and returns what is known then; fails with {@code NOT_LEADER}. */
    Either<Failure, UpstreamLimit> report(UpstreamLimit report) {
        UpstreamStart upstream = report.upstream();
        if (!beginTerm()) {
            return Either.left(Failure.of(ErrorCode.NOT_LEADER, upstream.upstream()));
        }
        if (limits.reported(report)) {
            announce(upstream);
        }
        return Either.right(limits.limit(upstream));
    }

    private void announce(UpstreamStart upstream) {
        announcer.announce(limits.limit(upstream));
    }

    /** Returns the lower one of the upstream's cold rate and its limit; empty if it has neither. */
    private static OptionalDouble rate(QuotaQuestion question, UpstreamLimit limit) {
        OptionalDouble asked =
                question.limit().isPresent() ? question.coldPerSecond() : OptionalDouble.of(question.perSecond());
        return Rates.lower(asked, limit.rate());
    }

    private OptionalLong takeToken(String upstream, double perSecond) {
        TokenBucket bucket = buckets.computeIfAbsent(upstream, name -> TokenBucket.emptyAt(begunTermNanos.getAsLong()));
        if (bucket.lastPerSecond() != perSecond) {
            LOG.info("event=quota_rate id={} per_second={} before={}", upstream, perSecond, bucket.lastPerSecond());
        }
        return bucket.tryTake(perSecond, timer.nowNanos());
    }

    /** Forgets what belongs to an earlier term; returns false if this host doesn't lead. */
    private boolean beginTerm() {
        OptionalLong start = term.startNanos();
        if (start.isEmpty()) {
            return false;
        }
        if (!start.equals(begunTermNanos)) {
            begunTermNanos = start;
            buckets.clear();
            limits = LimitRegister.create(random.nextLong());
        }
        return true;
    }

    /** A bucket that was not used for so long is full, as a new one would be. */
    private void discardUnused() {
        long now = timer.nowNanos();
        buckets.values().removeIf(bucket -> now - bucket.updatedNanos() > SWEEP_PERIOD.toNanos());
    }
}
