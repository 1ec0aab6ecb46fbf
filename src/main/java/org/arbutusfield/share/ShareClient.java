package org.arbutusfield.share;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.proxy.TeamLimiter;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.RegisteredHost;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.team.Team;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.PeerAddress;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Keeps the requests that this host sends for teams within its shares, and reports to the leader what callers ask for.
 *
 * <p>A report of all teams in use goes out each 500 ms. A team that is short of tokens, or has some to return, is
 * reported sooner. A request waits at most 150 ms, and only while a report that asks for its token is unanswered; under
 * a limit that is used up it is refused without a wait until the next report. Without teams in use there are no
 * messages and no timers.
 *
 * <p>Runs on one event loop.
 */
public final class ShareClient implements TeamLimiter {
    private static final Logger LOG = LogManager.getLogger(ShareClient.class);
    private static final Duration MAX_WAIT = Duration.ofMillis(150);
    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);
    private static final long REPORT_NANOS = Duration.ofMillis(500).toNanos();
    private static final long EARLY_REPORT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long FORGET_NANOS = Duration.ofMinutes(1).toNanos();
    private static final long LOG_NANOS = Duration.ofSeconds(5).toNanos();
    private static final Duration UNAVAILABLE_RETRY = Duration.ofSeconds(1);
    private static final Duration FIRST_REPORT_RETRY = Duration.ofMillis(500);

    private final String self;
    private final long incarnation;
    private final Supplier<SteeringState> state;
    private final Supplier<TeamLimits> limits;
    private final ControlTransport transport;
    private final ShareServer localServer;
    private final ShareObserver observer;
    private final TimerService timer;
    private final long startNanos;
    private final Map<String, TeamEntry> teams = new HashMap<>();
    /** Name of the leader to which this process has sent its first report. */
    private Optional<String> firstReportedTo = Optional.empty();

    private long lastNumber;
    private long lastTerm;
    private long knownVersion;
    private boolean checking;
    private boolean lenderAnswers = true;
    private Optional<Long> loggedNanos = Optional.empty();

    private ShareClient(
            String self,
            long incarnation,
            Supplier<SteeringState> state,
            Supplier<TeamLimits> limits,
            ControlTransport transport,
            ShareServer localServer,
            ShareObserver observer,
            TimerService timer) {
        this.self = self;
        this.incarnation = incarnation;
        this.state = state;
        this.limits = limits;
        this.transport = transport;
        this.localServer = localServer;
        this.observer = observer;
        this.timer = timer;
        this.startNanos = timer.nowNanos();
    }

    /**
     * Creates the client of a host.
     *
     * @param self name of this host
     * @param incarnation number of this process; must increase with each start of the host
     * @param state supplies the current state, for the leader
     * @param limits supplies the limits in the configuration that this host knows
     * @param transport sends messages to other hosts
     * @param localServer answers when this host itself leads
     * @param observer gets what happens
     * @param timer clock and scheduler
     */
    public static ShareClient create(
            String self,
            long incarnation,
            Supplier<SteeringState> state,
            Supplier<TeamLimits> limits,
            ControlTransport transport,
            ShareServer localServer,
            ShareObserver observer,
            TimerService timer) {
        return new ShareClient(self, incarnation, state, limits, transport, localServer, observer, timer);
    }

    @Override
    public CompletableFuture<Either<Failure, Use>> acquire(Team team, Duration maxWait) {
        if (!team.limited()) {
            return UNLIMITED.acquire(team, maxWait);
        }
        applyConfiguration();
        Optional<TeamLimit> limit = limits.get().limit(team.name());
        if (limit.isEmpty()) {
            observer.counted(ShareOutcome.TEAM_REMOVED);
            return refused(
                    Failure.of(ErrorCode.TEAM_SHARE_UNAVAILABLE, team.name()).withRetryAfter(UNAVAILABLE_RETRY));
        }
        TeamEntry entry = teams.computeIfAbsent(team.name(), name -> entry(name, limit.get()));
        entry.use.arrived();
        checkSoon();
        Optional<Use> use = entry.use.tryTake();
        return use.isPresent()
                ? CompletableFuture.completedFuture(Either.right(use.get()))
                : waitOrRefuse(entry, maxWait);
    }

    /** Returns what this host has sent and holds for each team in use, by name. */
    public List<ShareView> snapshot() {
        Optional<String> lender = leader().map(HostEntry::name);
        return teams.values().stream()
                .map(entry -> entry.use.view(lender))
                .sorted(Comparator.comparing(ShareView::team))
                .toList();
    }

    private TeamEntry entry(String team, TeamLimit limit) {
        HostAllowance allowance = HostAllowance.create(team, limits.get().version(), limit, timer.nowNanos());
        return new TeamEntry(new TeamRequests(team, allowance, observer, timer));
    }

    private CompletableFuture<Either<Failure, Use>> waitOrRefuse(TeamEntry entry, Duration maxWait) {
        HostAllowance allowance = entry.use.allowance();
        boolean early = !earlyReportDue(entry);
        if (leader().isEmpty() && !allowance.awaitsAnswer()) {
            return refused(shortage(entry, ShareOutcome.NO_LEADER));
        }
        if (early && entry.shortOfTokens) {
            return refused(shortage(entry, ShareOutcome.LIMIT));
        }
        if (early && entry.silent && !allowance.awaitsAnswer()) {
            return refused(shortage(entry, ShareOutcome.NO_ANSWER));
        }
        long wait = Math.min(MAX_WAIT.toNanos(), maxWait.toNanos());
        CompletableFuture<Either<Failure, Use>> result = entry.use.await(timer.nowNanos() + wait);
        timer.after(Duration.ofNanos(wait), () -> {
            ShareOutcome reason = entry.shortOfTokens ? ShareOutcome.LIMIT : ShareOutcome.NO_ANSWER;
            entry.use.refuseDue(shareOutcome(entry, reason), retryAfter(entry));
        });
        if (!allowance.awaitsAnswer() && !early) {
            send(List.of(entry));
        }
        return result;
    }

    /** A host with a share has used it up, whether the leader answers or not. */
    private ShareOutcome shareOutcome(TeamEntry entry, ShareOutcome without) {
        return entry.use.allowance().holdsShare(timer.nowNanos()) ? ShareOutcome.LIMIT : without;
    }

    private Failure shortage(TeamEntry entry, ShareOutcome without) {
        return entry.use.refusal(shareOutcome(entry, without), retryAfter(entry));
    }

    private Duration retryAfter(TeamEntry entry) {
        long now = timer.nowNanos();
        if (entry.use.allowance().holdsShare(now)) {
            return entry.use.allowance().untilNextToken(now);
        }
        return entry.shortOfTokens ? entry.retryAfter : UNAVAILABLE_RETRY;
    }

    private boolean earlyReportDue(TeamEntry entry) {
        return !entry.reported || timer.nowNanos() - entry.use.allowance().askedNanos() >= EARLY_REPORT_NANOS;
    }

    private boolean reportDue(TeamEntry entry, long now) {
        HostAllowance allowance = entry.use.allowance();
        if (allowance.awaitsAnswer() || !earlyReportDue(entry)) {
            return false;
        }
        boolean regular = now - allowance.askedNanos() >= REPORT_NANOS
                && (allowance.holdsShare(now) || now - allowance.arrivedNanos() < 2 * REPORT_NANOS);
        return regular || entry.use.waiting() > 0 || allowance.returnsSoon(now);
    }

    /** Runs while teams are in use. */
    private void checkSoon() {
        if (!checking) {
            checking = true;
            timer.after(CHECK_PERIOD, this::check);
        }
    }

    private void check() {
        checking = false;
        applyConfiguration();
        long now = timer.nowNanos();
        teams.values().removeIf(entry -> forgettable(entry, now));
        // Served requests may start further ones on their connections, which may be of other teams.
        List.copyOf(teams.values()).forEach(entry -> entry.use.serve());
        List<TeamEntry> due =
                teams.values().stream().filter(entry -> reportDue(entry, now)).toList();
        if (!due.isEmpty() && leader().isPresent()) {
            send(due);
        }
        teams.forEach((team, entry) -> noteEnd(team, entry, now));
        observer.holds((int) teams.values().stream()
                .filter(entry -> entry.use.allowance().holdsShare(now))
                .count());
        if (teams.values().stream().anyMatch(entry -> inUse(entry, now))) {
            checkSoon();
        }
    }

    /** Logs a share that ended because the leader did not answer; the first one of a few seconds. */
    private void noteEnd(String team, TeamEntry entry, long now) {
        boolean holds = entry.use.allowance().holdsShare(now);
        if (entry.held && !holds && entry.silent && logDue()) {
            loggedNanos = Optional.of(now);
            LOG.warn(
                    "event=team_share_ended team={} leader={}",
                    team,
                    leader().map(HostEntry::name).orElse(""));
        }
        entry.held = holds;
    }

    private static boolean inUse(TeamEntry entry, long now) {
        HostAllowance allowance = entry.use.allowance();
        return allowance.holdsShare(now)
                || allowance.returnsSoon(now)
                || allowance.awaitsAnswer()
                || entry.use.waiting() > 0
                || now - allowance.arrivedNanos() < 2 * REPORT_NANOS;
    }

    /** Counts of an unused team are forgotten, so that the memory is bounded by the teams in use. */
    private static boolean forgettable(TeamEntry entry, long now) {
        return !inUse(entry, now) && now - entry.use.allowance().arrivedNanos() > FORGET_NANOS;
    }

    /** Scales shares to lower limits, and ends those of teams that are gone. */
    private void applyConfiguration() {
        TeamLimits known = limits.get();
        if (known.version() <= knownVersion) {
            return;
        }
        knownVersion = known.version();
        long now = timer.nowNanos();
        teams.entrySet().removeIf(named -> {
            TeamEntry entry = named.getValue();
            Optional<TeamLimit> limit = known.limit(named.getKey());
            limit.ifPresent(next -> entry.use.allowance().limitChanged(knownVersion, next, now));
            if (limit.isEmpty()) {
                entry.use.refuseAll(ShareOutcome.TEAM_REMOVED, UNAVAILABLE_RETRY);
            }
            return limit.isEmpty();
        });
    }

    private void send(List<TeamEntry> due) {
        HostEntry leader = leader().orElseThrow();
        long now = timer.nowNanos();
        long number = ++lastNumber;
        List<TeamReport> reports = new ArrayList<>();
        for (TeamEntry entry : due) {
            entry.reported = true;
            entry.wanted = entry.use.waiting();
            reports.add(entry.use.allowance().report(number, entry.wanted, now));
        }
        call(leader, report(reports))
                .whenComplete(Handled.by(answer -> answer.peek(known -> answered(due, number, known))
                        .peekLeft(failure -> notAnswered(due, number, leader, failure))));
    }

    /**
     * Reports once to a new leader even without callers, because a leader that starts together with the fleet waits for
     * all hosts to report.
     */
    public void stateChanged() {
        Optional<String> name = leader().map(HostEntry::name);
        if (name.isEmpty() || name.equals(firstReportedTo) || !limits.get().any()) {
            return;
        }
        firstReportedTo = name;
        call(leader().orElseThrow(), report(List.of()))
                .whenComplete(Handled.by(answer -> answer.peekLeft(failure -> {
                    if (name.equals(firstReportedTo)) {
                        firstReportedTo = Optional.empty();
                        timer.after(FIRST_REPORT_RETRY, this::stateChanged);
                    }
                })));
    }

    private HostReport report(List<TeamReport> reports) {
        long uptimeMillis = Duration.ofNanos(timer.nowNanos() - startNanos).toMillis();
        return new HostReport(self, incarnation, limits.get().version(), lastTerm, uptimeMillis, reports);
    }

    private CompletableFuture<Either<Failure, LenderAnswer>> call(HostEntry leader, HostReport report) {
        if (leader.name().equals(self)) {
            return CompletableFuture.completedFuture(localServer.answer(report));
        }
        return transport
                .call(PeerAddress.parse(leader.controlAddress()), ControlMessage.shareReport(report.encode()), MAX_WAIT)
                .thenApply(response -> response.flatMap(ShareClient::decode));
    }

    private static Either<Failure, LenderAnswer> decode(ControlMessage message) {
        return message.isSetShareAnswer()
                ? Either.right(LenderAnswer.decode(message.getShareAnswer()))
                : Either.left(Failure.of(ErrorCode.MESSAGE_UNKNOWN));
    }

    private void answered(List<TeamEntry> reported, long number, LenderAnswer answer) {
        observer.reported(true);
        applyConfiguration();
        lenderAnswers = true;
        boolean newTerm = answer.term() != lastTerm;
        lastTerm = answer.term();
        Map<String, TeamGrant> grants = new HashMap<>();
        answer.teams().forEach(grant -> grants.put(grant.team(), grant));
        List<TeamEntry> again = new ArrayList<>();
        for (TeamEntry entry : reported) {
            TeamGrant grant = grants.get(entry.use.team());
            if (grant != null) {
                apply(entry, answer.version(), grant);
            } else {
                entry.use.allowance().notAnswered(number);
            }
            // Requests that arrived after the report was sent were not in it. Tokens of an older configuration are
            // dropped.
            boolean more = grant != null && answer.version() >= knownVersion && entry.use.waiting() > 0;
            if (current(entry) && (more || (grant == null && newTerm))) {
                again.add(entry);
            }
        }
        if (!again.isEmpty() && leader().isPresent()) {
            send(again);
        }
    }

    private boolean current(TeamEntry entry) {
        return teams.get(entry.use.team()) == entry && !entry.use.allowance().awaitsAnswer();
    }

    private void apply(TeamEntry entry, long version, TeamGrant grant) {
        if (!entry.use.allowance().answered(version, grant, timer.nowNanos())) {
            return;
        }
        entry.silent = false;
        entry.use.serve();
        entry.retryAfter = grant.retryAfter();
        entry.shortOfTokens = grant.tokens() < entry.wanted && entry.use.waiting() > 0;
        if (entry.shortOfTokens) {
            entry.use.refuseAll(ShareOutcome.LIMIT, retryAfter(entry));
        }
    }

    private void notAnswered(List<TeamEntry> reported, long number, HostEntry leader, Failure failure) {
        observer.reported(false);
        for (TeamEntry entry : reported) {
            entry.use.allowance().notAnswered(number);
            entry.silent = true;
            entry.shortOfTokens = false;
        }
        if (lenderAnswers || logDue()) {
            loggedNanos = Optional.of(timer.nowNanos());
            LOG.warn("event=share_report_failed leader={} code={}", leader.name(), failure.code());
        }
        lenderAnswers = false;
    }

    private boolean logDue() {
        return loggedNanos.isEmpty() || timer.nowNanos() - loggedNanos.get() >= LOG_NANOS;
    }

    private Optional<HostEntry> leader() {
        return state.get().leader().host().map(RegisteredHost::entry);
    }

    private static CompletableFuture<Either<Failure, Use>> refused(Failure failure) {
        return CompletableFuture.completedFuture(Either.left(failure));
    }

    /** One team at this host, and what the last answer said. */
    private static final class TeamEntry {
        private final TeamRequests use;
        private boolean reported;
        /** Tokens that the last report asked for. */
        private int wanted;

        /** The last answer had fewer tokens than were wanted. */
        private boolean shortOfTokens;

        private boolean silent;
        private boolean held;
        private Duration retryAfter = UNAVAILABLE_RETRY;

        private TeamEntry(TeamRequests use) {
            this.use = use;
        }
    }
}
