package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;
import org.arbutusfield.team.Team;

/** Keeps the requests of a team that all hosts send together within its limit. Called on the request's event loop. */
@FunctionalInterface
public interface TeamLimiter {
    /** Limits nothing. */
    TeamLimiter UNLIMITED = (team, maxWait) -> CompletableFuture.completedFuture(Either.right(() -> {}));

    /**
     * Counts one request of a team.
     *
     * @param team the team
     * @param maxWait time that the request may wait for the decision
     * @return the use; {@code TEAM_LIMIT} if the team's limit is reached, {@code TEAM_SHARE_UNAVAILABLE} if this host
     *     may send nothing for the team now; both with the time after which to retry
     */
    CompletableFuture<Either<Failure, Use>> acquire(Team team, Duration maxWait);

    /** One counted request. */
    @FunctionalInterface
    interface Use {
        /** Takes back the count of a request that reached no upstream. Called at most once. */
        void giveBack();
    }
}
