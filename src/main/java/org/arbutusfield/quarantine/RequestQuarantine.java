package org.arbutusfield.quarantine;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.misc.LogValue;
import org.arbutusfield.proxy.CrashGuard;
import org.arbutusfield.proxy.InterruptedRun;
import org.arbutusfield.proxy.upstream.UpstreamProbe;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.LiveUpstream;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.SuspectRequest;
import org.arbutusfield.state.UpstreamStart;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;
import org.arbutusfield.wire.gen.CrashReport;
import org.arbutusfield.wire.gen.InterruptedRequest;
import org.arbutusfield.wire.gen.SuspectRecord;

/**
 * Keeps a request that ends every upstream that runs it from reaching further ones, over all hosts.
 *
 * <p>Problem: such a request comes again at any host, and each host sees only some of the upstreams end. What looks to
 * a host like an upstream's end may also be a fault of its own network.
 *
 * <p>Idea: a host reports each run that was interrupted to the few hosts that count for this request. They believe that
 * the upstream has ended if its port is closed to them too, and tell all hosts when the {@link CrashLedger} has two or
 * three ends. With two the hosts no longer repeat the request themselves, with three they refuse it.
 *
 * <p>Invariants: an upstream that is to leave, or that is gone from the store already, is no evidence. A host's own
 * view is no evidence while there are other hosts. An answer to a suspect request lifts the suspicion everywhere.
 *
 * <p>Example: a request ends upstream 1 through host A, and upstream 2 through host B. Hosts C, D and E count, C has
 * both reports first, and tells all hosts. It comes to F and ends upstream 3, which F doesn't repeat elsewhere. Once C
 * has F's report, all hosts refuse the request, also G, which starts later and reads it from the store.
 *
 * <p>Runs on one event loop.
 */
public final class RequestQuarantine implements CrashGuard {
    private static final Logger LOG = LogManager.getLogger(RequestQuarantine.class);
    /** After this a request is passed on again, since its cause may have been mended; one end then suffices. */
    private static final Duration LIFETIME = Duration.ofMinutes(10);

    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(600);
    private static final Duration REPORT_RETRY_DELAY = Duration.ofMillis(200);
    private static final int REPORT_TRIES = 2;

    private final String self;
    private final Supplier<SteeringState> state;
    private final ControlTransport transport;
    private final UpstreamProbe probe;
    private final Predicate<LiveUpstream> leaving;
    private final TimerService timer;
    private final CrashLedger ledger = CrashLedger.create();
    private final RecentAnswers answers = RecentAnswers.create();
    private final KnownSuspects known = KnownSuspects.of(LIFETIME);
    private final SuspectPublisher publisher;
    private StoreRevision revision = StoreRevision.NONE;

    private RequestQuarantine(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            WatchableStore store,
            UpstreamProbe probe,
            Predicate<LiveUpstream> leaving,
            TimerService timer) {
        this.self = self;
        this.state = state;
        this.transport = transport;
        this.probe = probe;
        this.leaving = leaving;
        this.timer = timer;
        this.publisher = SuspectPublisher.of(self, state, transport, store, known, timer, this::clear);
    }

    /**
     * Starts the quarantine of one host.
     *
     * @param self name of the host
     * @param state supplies the current state
     * @param transport sends messages to other hosts
     * @param store keeps the suspect requests
     * @param probe tells whether an upstream's port is closed
     * @param leaving tells whether an upstream has said that it is about to stop
     * @param timer clock and scheduler, whose thread runs everything
     */
    public static RequestQuarantine start(
            String self,
            Supplier<SteeringState> state,
            ControlTransport transport,
            WatchableStore store,
            UpstreamProbe probe,
            Predicate<LiveUpstream> leaving,
            TimerService timer) {
        RequestQuarantine quarantine = new RequestQuarantine(self, state, transport, store, probe, leaving, timer);
        timer.every(EXPIRY_CHECK_INTERVAL, quarantine::liftExpired);
        return quarantine;
    }

    /** Registers the handlers of other hosts' messages. */
    public void register(ControlHandlers handlers) {
        handlers.register(ControlMessage._Fields.CRASH_REPORT, message -> onReport(message.getCrashReport()));
        handlers.register(ControlMessage._Fields.SUSPECT_LIST, message -> {
            return reply(message.getSuspectList().getSuspects().stream()
                    .filter(this::learnUnlessAnswered)
                    .map(CrashMessages::suspect)
                    .map(suspect -> new SuspectRequest(suspect.fingerprint(), List.of()))
                    .toList());
        });
    }

    /** Takes a new state of the store into account. */
    public void stateChanged(SteeringState next) {
        known.storeChanged(next.suspects(), timer.nowNanos()).forEach(this::adopt);
        if (next.revision().isOfLaterEra(revision)) {
            publisher.publishAgain(known.all());
        }
        revision = next.revision();
    }

    /** Returns the number of requests that reach no upstream. */
    public int size() {
        return (int) known.all().stream().filter(SuspectRequest::quarantined).count();
    }

    @Override
    public boolean hasSuspects() {
        return !known.isEmpty();
    }

    @Override
    public boolean suspect(String fingerprint) {
        return known.find(fingerprint).isPresent();
    }

    @Override
    public boolean quarantined(String fingerprint) {
        return known.find(fingerprint).filter(SuspectRequest::quarantined).isPresent();
    }

    @Override
    public void answered(Supplier<List<String>> fingerprints) {
        for (String fingerprint : fingerprints.get()) {
            answers.add(fingerprint, timer.nowNanos());
            if (suspect(fingerprint)) {
                clearEverywhere(fingerprint);
            }
        }
    }

    private void clearEverywhere(String fingerprint) {
        clear(fingerprint);
        report(fingerprint, () -> CrashMessages.answered(fingerprint), response -> {}, REPORT_TRIES);
    }

    @Override
    public void runInterrupted(InterruptedRun run) {
        if (!run.upstreamEnded()) {
            return;
        }
        Optional<LiveUpstream> upstream = state.get()
                .upstream(run.upstream().service(), run.upstream().name())
                .filter(live -> !leaving.test(live));
        if (upstream.isEmpty()) {
            LOG.info(
                    "event=crash_not_counted id={} upstream={} reason=was_to_end",
                    LogValue.of(run.requestId()),
                    run.upstream().name());
            return;
        }
        UpstreamStart start =
                new UpstreamStart(upstream.get().name(), upstream.get().startMillis());
        run.fingerprints().forEach(fingerprint -> report(fingerprint, run, start));
    }

    private void report(String fingerprint, InterruptedRun run, UpstreamStart start) {
        CrashedRun own = new CrashedRun(start, run.lostNanos() - run.sinceSent().toNanos(), run.lostNanos());
        boolean alone =
                ledgerHosts(fingerprint).stream().allMatch(host -> host.name().equals(self));
        if (alone) {
            count(fingerprint, own);
            return;
        }
        report(
                fingerprint,
                () -> CrashMessages.interrupted(fingerprint, run, start, timer.nowNanos()),
                suspects -> onConfirmed(fingerprint, own, suspects),
                REPORT_TRIES);
    }

    /** Counts a run of this host too, if it is one of those that count, once another one has confirmed it. */
    private void onConfirmed(String fingerprint, CrashedRun own, List<SuspectRequest> suspects) {
        boolean counts =
                ledgerHosts(fingerprint).stream().anyMatch(host -> host.name().equals(self));
        boolean confirmed =
                suspects.stream().anyMatch(suspect -> suspect.ended().contains(own.upstream()));
        if (counts && confirmed) {
            count(fingerprint, own);
        }
        suspects.stream()
                .filter(suspect -> suspect.ended().size() >= SuspectRequest.SUSPECT_AFTER_ENDS)
                .forEach(this::learn);
    }

    private CompletableFuture<Either<Failure, ControlMessage>> onReport(CrashReport report) {
        long receivedNanos = timer.nowNanos();
        report.getAnswered().forEach(this::clear);
        List<CompletableFuture<Optional<SuspectRequest>>> counted = new ArrayList<>();
        for (InterruptedRequest request : report.getInterrupted()) {
            CrashedRun run = CrashMessages.run(request, receivedNanos);
            counted.add(probe.connect(new InetSocketAddress(request.getAddress(), request.getPort()))
                    .thenApply(result -> confirm(request.getFingerprint(), run, result)));
        }
        return CompletableFuture.allOf(counted.toArray(CompletableFuture[]::new))
                .thenCompose(done -> reply(counted.stream()
                        .flatMap(suspect -> suspect.join().stream())
                        .toList()));
    }

    private Optional<SuspectRequest> confirm(String fingerprint, CrashedRun run, UpstreamProbe.Result result) {
        if (result != UpstreamProbe.Result.REFUSED) {
            LOG.info(
                    "event=crash_not_counted request={} upstream={} reason=not_refused_here result={}",
                    fingerprint,
                    run.upstream().upstream(),
                    result);
            return Optional.empty();
        }
        return Optional.of(count(fingerprint, run));
    }

    private SuspectRequest count(String fingerprint, CrashedRun run) {
        List<UpstreamStart> ended = ledger.record(fingerprint, run, timer.nowNanos());
        LOG.info(
                "event=crash_counted request={} upstream={} consecutive={}",
                fingerprint,
                run.upstream().upstream(),
                ended.size());
        int enough = SuspectRequest.QUARANTINE_AFTER_ENDS;
        SuspectRequest found =
                new SuspectRequest(fingerprint, ended.subList(Math.max(0, ended.size() - enough), ended.size()));
        if (found.ended().size() >= SuspectRequest.SUSPECT_AFTER_ENDS && learn(found)) {
            publisher.publish(found, ledger.firstEndNanos(fingerprint, timer.nowNanos()));
        }
        return found;
    }

    private boolean learn(SuspectRequest suspect) {
        if (suspect.ended().isEmpty()) {
            ledger.clear(suspect.fingerprint());
            known.forget(suspect.fingerprint(), "cleared_by_host");
            return false;
        }
        boolean news = known.learn(suspect, timer.nowNanos());
        if (news) {
            adopt(suspect);
        }
        return news;
    }

    private void adopt(SuspectRequest suspect) {
        long now = timer.nowNanos();
        ledger.adopt(suspect, now);
        ledger.answersReportedSince(
                suspect.fingerprint(), now + publisher.spreadTime().toNanos());
    }

    /** Takes over what another host tells; returns true if this host knows that the request was answered since. */
    private boolean learnUnlessAnswered(SuspectRecord told) {
        long firstEnd = timer.nowNanos() - TimeUnit.MICROSECONDS.toNanos(told.getSinceMicros());
        if (answers.contains(told.getFingerprint(), firstEnd)) {
            return true;
        }
        learn(CrashMessages.suspect(told));
        return false;
    }

    private void clear(String fingerprint) {
        ledger.clear(fingerprint);
        known.forget(fingerprint, "answered");
        publisher.withdraw(fingerprint);
    }

    private void liftExpired() {
        for (String fingerprint : known.expired(timer.nowNanos())) {
            known.forget(fingerprint, "expired");
            publisher.withdraw(fingerprint);
        }
    }

    private List<HostEntry> ledgerHosts(String fingerprint) {
        return LedgerHosts.of(fingerprint, state.get().hosts());
    }

    private void report(
            String fingerprint, Supplier<ControlMessage> message, Consumer<List<SuspectRequest>> onReply, int tries) {
        for (HostEntry host : ledgerHosts(fingerprint)) {
            if (!host.name().equals(self)) {
                reportTo(host, message, onReply, tries);
            }
        }
    }

    private void reportTo(
            HostEntry host, Supplier<ControlMessage> message, Consumer<List<SuspectRequest>> onReply, int tries) {
        transport
                .call(PeerAddress.parse(host.controlAddress()), message.get(), REPORT_TIMEOUT)
                .whenComplete(Handled.by(response -> {
                    if (response.isRight() && response.get().isSetSuspectList()) {
                        onReply.accept(CrashMessages.suspects(response.get().getSuspectList()));
                    } else if (tries > 1) {
                        timer.after(REPORT_RETRY_DELAY, () -> reportTo(host, message, onReply, tries - 1));
                    } else {
                        LOG.warn(
                                "event=crash_report_lost host={} code={}",
                                host.name(),
                                response.fold(failure -> failure.code().name(), other -> "MESSAGE_UNKNOWN"));
                    }
                }));
    }

    private static CompletableFuture<Either<Failure, ControlMessage>> reply(List<SuspectRequest> suspects) {
        return CompletableFuture.completedFuture(Either.right(CrashMessages.suspects(suspects)));
    }
}
