package org.arbutusfield.share;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.quota.LeaderTerm;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Lends shares of the limits of teams while this host leads. Runs on one event loop; works only when it gets reports.
 */
public final class ShareServer {
    private static final Logger LOG = LogManager.getLogger(ShareServer.class);
    private static final Duration SWEEP_PERIOD = Duration.ofMinutes(1);

    private final LeaderTerm term;
    private final Supplier<TeamLimits> limits;
    private final ShareTolerance tolerance;
    private final Supplier<List<String>> registeredHosts;
    private final TimerService timer;
    private final RandomGenerator random;
    private final long processStartNanos;
    private final FleetRestart restart = new FleetRestart();
    private final Map<String, TeamLedger> ledgers = new HashMap<>();
    /** Start of the term that the ledgers belong to. */
    private OptionalLong begunTermNanos = OptionalLong.empty();

    /** End of the time for which shares of a predecessor may be in use. */
    private long takenOverNanos;

    private long termId;
    private long sweptNanos;

    private ShareServer(
            LeaderTerm term,
            Supplier<TeamLimits> limits,
            ShareTolerance tolerance,
            Supplier<List<String>> registeredHosts,
            TimerService timer,
            RandomGenerator random) {
        this.term = term;
        this.limits = limits;
        this.tolerance = tolerance;
        this.registeredHosts = registeredHosts;
        this.processStartNanos = timer.nowNanos();
        this.timer = timer;
        this.random = random;
    }

    /**
     * Creates the lender of a host.
     *
     * @param term tells whether this host leads
     * @param limits supplies the limits in the configuration that this host knows
     * @param tolerance what may be sent beyond the limits after the start of a term
     * @param registeredHosts supplies the names of all registered hosts
     * @param timer monotonic clock
     * @param random source of the numbers of terms
     */
    public static ShareServer create(
            LeaderTerm term,
            Supplier<TeamLimits> limits,
            ShareTolerance tolerance,
            Supplier<List<String>> registeredHosts,
            TimerService timer,
            RandomGenerator random) {
        return new ShareServer(term, limits, tolerance, registeredHosts, timer, random);
    }

    /** Registers the handler for reports of other hosts. */
    public void register(ControlHandlers handlers) {
        handlers.register(
                ControlMessage._Fields.SHARE_REPORT,
                message -> CompletableFuture.completedFuture(answer(HostReport.decode(message.getShareReport()))
                        .map(answer -> ControlMessage.shareAnswer(answer.encode()))));
    }

    /** Answers a report; fails with {@code NOT_LEADER}. */
    Either<Failure, LenderAnswer> answer(HostReport report) {
        if (!beginTerm()) {
            return Either.left(Failure.of(ErrorCode.NOT_LEADER, report.host()));
        }
        TeamLimits known = limits.get();
        sweepIfDue();
        endTakeOverIfRestarted(report);
        List<TeamGrant> grants = new ArrayList<>();
        for (TeamReport team : report.teams()) {
            answer(report, team, known).ifPresent(grants::add);
        }
        return Either.right(new LenderAnswer(known.version(), termId, grants));
    }

    /** Returns what is lent of each team's limit, by name; empty while this host doesn't lead. */
    public List<LentView> snapshot() {
        if (!beginTerm()) {
            return List.of();
        }
        long now = timer.nowNanos();
        return ledgers.entrySet().stream()
                .map(entry -> view(entry.getKey(), entry.getValue(), now))
                .sorted(Comparator.comparing(LentView::team))
                .toList();
    }

    private static LentView view(String team, TeamLedger ledger, long now) {
        return new LentView(
                team,
                ledger.limit(),
                ledger.hosts(),
                ledger.countedRate(),
                ledger.countedBurst(),
                ledger.reserve(),
                ledger.takingOver(now));
    }

    private Optional<TeamGrant> answer(HostReport report, TeamReport team, TeamLimits known) {
        Optional<TeamLimit> limit = known.limit(team.team());
        if (limit.isEmpty()) {
            return Optional.empty();
        }
        long now = timer.nowNanos();
        TeamLedger ledger = ledgers.computeIfAbsent(
                team.team(),
                name -> TeamLedger.create(limit.get(), tolerance, begunTermNanos.getAsLong(), takenOverNanos, now));
        ledger.limit(limit.get(), now);
        boolean raises = report.version() >= known.version();
        return ledger.answer(report.host(), report.incarnation(), raises, report.term() == termId, team, now);
    }

    /** Forgets what belongs to an earlier term; returns false if this host doesn't lead. */
    private boolean beginTerm() {
        OptionalLong start = term.startNanos();
        if (start.isEmpty()) {
            return false;
        }
        if (!start.equals(begunTermNanos)) {
            begunTermNanos = start;
            takenOverNanos = start.getAsLong() + ShareTimes.LENT_NANOS;
            ledgers.clear();
            restart.clear();
            termId = random.nextLong();
            LOG.info("event=share_term_started term={}", Long.toHexString(termId));
        }
        return true;
    }

    private void endTakeOverIfRestarted(HostReport report) {
        long now = timer.nowNanos();
        if (now - takenOverNanos >= 0) {
            return;
        }
        long ownUptimeMillis = Duration.ofNanos(now - processStartNanos).toMillis();
        restart.reported(report.host(), report.uptimeMillis(), ownUptimeMillis);
        if (restart.complete(registeredHosts.get(), ownUptimeMillis)) {
            takenOverNanos = now;
            ledgers.values().forEach(ledger -> ledger.takenOver(now));
            LOG.info("event=share_fleet_restarted term={}", Long.toHexString(termId));
        }
    }

    private void sweepIfDue() {
        long now = timer.nowNanos();
        if (now - sweptNanos >= SWEEP_PERIOD.toNanos()) {
            sweptNanos = now;
            ledgers.values().removeIf(ledger -> ledger.unused(now));
        }
    }
}
