package org.arbutusfield.share;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.proxy.TeamLimiter;
import org.arbutusfield.timer.TimerService;

/** The requests of one team at this host: those that wait, and counts of all. Runs on one event loop. */
final class TeamRequests {
    private final String team;
    private final HostAllowance allowance;
    private final ShareObserver observer;
    private final TimerService timer;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Map<ShareOutcome, Long> counts = new EnumMap<>(ShareOutcome.class);
    private long asked;
    private long givenBack;

    TeamRequests(String team, HostAllowance allowance, ShareObserver observer, TimerService timer) {
        this.team = team;
        this.allowance = allowance;
        this.observer = observer;
        this.timer = timer;
    }

    String team() {
        return team;
    }

    HostAllowance allowance() {
        return allowance;
    }

    void arrived() {
        asked++;
        allowance.arrived(timer.nowNanos());
    }

    /** Takes a token for a request, unless others wait for one. */
    Optional<TeamLimiter.Use> tryTake() {
        long now = timer.nowNanos();
        return waiting.isEmpty() && allowance.tryTake(now) ? Optional.of(use(now)) : Optional.empty();
    }

    /** Lets a request wait for a token, at most until a time. */
    CompletableFuture<Either<Failure, TeamLimiter.Use>> await(long untilNanos) {
        Waiting added = new Waiting(untilNanos, new CompletableFuture<>());
        waiting.add(added);
        return added.result();
    }

    int waiting() {
        return waiting.size();
    }

    /** Gives the tokens there are to the requests that wait. */
    void serve() {
        while (!waiting.isEmpty()) {
            long now = timer.nowNanos();
            if (!allowance.tryTake(now)) {
                return;
            }
            waiting.remove().result().complete(Either.right(use(now)));
        }
    }

    /** Refuses all requests that wait. */
    void refuseAll(ShareOutcome reason, Duration retryAfter) {
        while (!waiting.isEmpty()) {
            waiting.remove().result().complete(Either.left(refusal(reason, retryAfter)));
        }
    }

    /** Refuses the requests that have waited until their end. */
    void refuseDue(ShareOutcome reason, Duration retryAfter) {
        long now = timer.nowNanos();
        List<Waiting> due = waiting.stream()
                .filter(request -> request.untilNanos() - now <= 0)
                .toList();
        waiting.removeAll(due);
        due.forEach(request -> request.result().complete(Either.left(refusal(reason, retryAfter))));
    }

    /** Counts a refusal and returns it. */
    Failure refusal(ShareOutcome reason, Duration retryAfter) {
        count(reason);
        ErrorCode code = reason == ShareOutcome.LIMIT ? ErrorCode.TEAM_LIMIT : ErrorCode.TEAM_SHARE_UNAVAILABLE;
        return Failure.of(code, team).withRetryAfter(retryAfter);
    }

    ShareView view(Optional<String> lender) {
        long now = timer.nowNanos();
        boolean holds = allowance.holdsShare(now);
        Map<ShareOutcome, Long> refused = new EnumMap<>(counts);
        refused.remove(ShareOutcome.ALLOWED);
        return new ShareView(
                team,
                asked,
                counts.getOrDefault(ShareOutcome.ALLOWED, 0L),
                givenBack,
                refused,
                allowance.rate(),
                allowance.burst(),
                holds ? allowance.remaining(now) : Duration.ZERO,
                lender);
    }

    private TeamLimiter.Use use(long takenNanos) {
        count(ShareOutcome.ALLOWED);
        return new CountedUse(takenNanos);
    }

    private void count(ShareOutcome outcome) {
        counts.merge(outcome, 1L, Long::sum);
        observer.counted(outcome);
    }

    /** A request that waits for a token. */
    private record Waiting(long untilNanos, CompletableFuture<Either<Failure, TeamLimiter.Use>> result) {}

    /** A counted request; further calls do nothing. */
    private final class CountedUse implements TeamLimiter.Use {
        private final long takenNanos;
        private boolean returned;

        private CountedUse(long takenNanos) {
            this.takenNanos = takenNanos;
        }

        @Override
        public void giveBack() {
            if (returned) {
                return;
            }
            returned = true;
            givenBack++;
            allowance.giveBack(takenNanos, timer.nowNanos());
            serve();
        }
    }
}
