package org.arbutusfield.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.RegisteredHost;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.LimitAnnouncementReceived;
import org.arbutusfield.wire.gen.LimitReport;

/**
 * Asks the leader for permissions to send requests to limited upstreams, and tells it what their responses say of their
 * limits.
 *
 * <p>Without a leader that answers there are no permissions. A limited upstream then gets nothing, which is safe, and
 * lasts for about as long as an upstream is cold.
 *
 * <p>Invariants: a permission expires {@code VALIDITY} after it was asked for, so between the leader's decision and the
 * sending lies at most that time, however long the answer takes or this host is paused. A request that is sent in some
 * second was therefore decided in that second or {@code VALIDITY} before it, and in any second an upstream gets at most
 * {@code CAPACITY + rate * (1 s + VALIDITY)} requests: 1.4 times its rate and two.
 *
 * <p>Runs on one event loop.
 */
public final class QuotaClient implements UpstreamQuota {
    private static final Logger LOG = LogManager.getLogger(QuotaClient.class);
    /** Time to ask a host of another region, and to connect to an upstream there. */
    static final Duration VALIDITY = Duration.ofMillis(400);

    private static final Duration TIMEOUT = Duration.ofMillis(150);
    /** Without this, requests would wait for a leader that has gone until the store removes its entry. */
    private static final Duration LEADER_BACKOFF = Duration.ofMillis(500);

    /** Bounds the memory; what is forgotten costs a question. */
    private static final int MAX_REFUSALS = 20_000;

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final QuotaServer localServer;
    private final Consumer<QuotaOutcome> observer;
    private final TimerService timer;
    private final LimitKnowledge knowledge = LimitKnowledge.create();
    private final Set<String> asking = new HashSet<>();
    private final Map<String, Long> refusedUntilNanos = new HashMap<>();
    private Optional<String> silentLeader = Optional.empty();
    private long backoffEndNanos;

    private QuotaClient(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            QuotaServer localServer,
            Consumer<QuotaOutcome> observer,
            TimerService timer) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.localServer = localServer;
        this.observer = observer;
        this.timer = timer;
    }

    /**
     * Creates the client of a host.
     *
     * @param self name of this host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     * @param localServer decides when this host itself leads
     * @param observer gets the outcome of each question
     * @param timer monotonic clock
     */
    public static QuotaClient create(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            QuotaServer localServer,
            Consumer<QuotaOutcome> observer,
            TimerService timer) {
        return new QuotaClient(self, state, transport, localServer, observer, timer);
    }

    @Override
    public boolean mayAsk(String upstream) {
        Optional<HostEntry> leader = leader();
        if (leader.isEmpty() || asking.contains(upstream) || inBackoff(leader.get())) {
            return false;
        }
        Long refusedUntil = refusedUntilNanos.get(upstream);
        return refusedUntil == null || refusedUntil - timer.nowNanos() <= 0;
    }

    @Override
    public CompletableFuture<Optional<QuotaGrant>> ask(UpstreamStart upstream, OptionalDouble coldPerSecond) {
        Optional<HostEntry> leader = leader();
        if (leader.isEmpty()) {
            observer.accept(QuotaOutcome.NO_LEADER);
            return CompletableFuture.completedFuture(Optional.empty());
        }
        long askedNanos = timer.nowNanos();
        long heardBefore = knowledge.heardCount(upstream);
        asking.add(upstream.upstream());
        QuotaQuestion question = QuotaQuestion.of(knowledge.limit(upstream), coldPerSecond);
        return decide(leader.get(), question).thenApply(decision -> {
            asking.remove(upstream.upstream());
            decision.toJavaOptional()
                    .flatMap(QuotaDecision::limit)
                    .ifPresent(limit -> knowledge.told(upstream, limit, heardBefore));
            return decision.fold(
                    failure -> leaderFailed(leader.get(), failure),
                    known -> apply(upstream.upstream(), askedNanos, known));
        });
    }

    @Override
    public OptionalDouble namedRate(UpstreamStart upstream) {
        return knowledge.rate(upstream);
    }

    @Override
    public void heard(UpstreamStart upstream, OptionalDouble perSecond, Optional<QuotaGrant> grant) {
        Optional<LimitVersion> version = grant.flatMap(QuotaGrant::version);
        if (perSecond.isPresent()) {
            knowledge.heard(upstream, perSecond.getAsDouble(), timer.nowNanos());
            report(new UpstreamLimit(upstream, perSecond, version));
            return;
        }
        if (namedRate(upstream).isEmpty() || grant.isEmpty()) {
            return;
        }
        if (version.isPresent()) {
            report(new UpstreamLimit(upstream, perSecond, version));
        } else {
            knowledge.notNamed(upstream, grant.get().askedNanos());
        }
    }

    /** Registers the handler for what the leader announces. */
    public void register(ControlHandlers handlers) {
        handlers.register(ControlMessage._Fields.LIMIT_ANNOUNCEMENT, message -> {
            knowledge.announced(
                    UpstreamLimit.decode(message.getLimitAnnouncement().getLimit()));
            return CompletableFuture.completedFuture(Either.<Failure, ControlMessage>right(
                    ControlMessage.limitAnnouncementReceived(new LimitAnnouncementReceived())));
        });
    }

    /** Tells the leader what a response said. If that fails, the next question tells what this host believes. */
    private void report(UpstreamLimit report) {
        Optional<HostEntry> leader = leader();
        if (leader.isEmpty()) {
            return;
        }
        long heardBefore = knowledge.heardCount(report.upstream());
        send(leader.get(), report)
                .whenComplete(Handled.by(
                        told -> told.peek(limit -> knowledge.told(report.upstream(), limit, heardBefore))
                                .peekLeft(failure -> LOG.info(
                                        "event=limit_not_reported id={} leader={} code={}",
                                        report.upstream().upstream(),
                                        leader.get().name(),
                                        failure.code()))));
    }

    private CompletableFuture<Either<Failure, UpstreamLimit>> send(HostEntry leader, UpstreamLimit report) {
        if (leader.name().equals(self)) {
            return CompletableFuture.completedFuture(localServer.report(report));
        }
        ControlMessage message = ControlMessage.limitReport(new LimitReport(report.encode()));
        return transport
                .call(PeerAddress.parse(leader.controlAddress()), message, TIMEOUT)
                .thenApply(response -> response.flatMap(QuotaClient::reported));
    }

    private static Either<Failure, UpstreamLimit> reported(ControlMessage message) {
        return message.isSetLimitReportReceived()
                ? Either.right(
                        UpstreamLimit.decode(message.getLimitReportReceived().getLimit()))
                : Either.left(Failure.of(ErrorCode.MESSAGE_UNKNOWN));
    }

    private Optional<HostEntry> leader() {
        return state.get().leader().host().map(RegisteredHost::entry);
    }

    private CompletableFuture<Either<Failure, QuotaDecision>> decide(HostEntry leader, QuotaQuestion question) {
        if (leader.name().equals(self)) {
            return CompletableFuture.completedFuture(localServer.decide(question));
        }
        return transport
                .call(
                        PeerAddress.parse(leader.controlAddress()),
                        ControlMessage.quotaRequest(question.encode()),
                        TIMEOUT)
                .thenApply(response -> response.flatMap(QuotaClient::decision));
    }

    private static Either<Failure, QuotaDecision> decision(ControlMessage message) {
        return message.isSetQuotaResponse()
                ? Either.right(QuotaDecision.decode(message.getQuotaResponse()))
                : Either.left(Failure.of(ErrorCode.MESSAGE_UNKNOWN));
    }

    private Optional<QuotaGrant> apply(String upstream, long askedNanos, QuotaDecision decision) {
        silentLeader = Optional.empty();
        if (decision.granted()) {
            observer.accept(QuotaOutcome.GRANTED);
            Optional<LimitVersion> version = decision.limit().flatMap(UpstreamLimit::version);
            return Optional.of(new QuotaGrant(askedNanos, askedNanos + VALIDITY.toNanos(), version));
        }
        observer.accept(QuotaOutcome.REFUSED);
        discardExpired();
        refusedUntilNanos.put(upstream, timer.nowNanos() + decision.retryAfter().toNanos());
        return Optional.empty();
    }

    private Optional<QuotaGrant> leaderFailed(HostEntry leader, Failure failure) {
        observer.accept(QuotaOutcome.NO_LEADER);
        if (!inBackoff(leader)) {
            LOG.warn("event=quota_unavailable leader={} code={}", leader.name(), failure.code());
        }
        silentLeader = Optional.of(leader.name());
        backoffEndNanos = timer.nowNanos() + LEADER_BACKOFF.toNanos();
        return Optional.empty();
    }

    private boolean inBackoff(HostEntry leader) {
        return silentLeader.filter(leader.name()::equals).isPresent() && backoffEndNanos - timer.nowNanos() > 0;
    }

    private void discardExpired() {
        if (refusedUntilNanos.size() >= MAX_REFUSALS) {
            long now = timer.nowNanos();
            refusedUntilNanos.values().removeIf(until -> until - now <= 0);
        }
    }
}
