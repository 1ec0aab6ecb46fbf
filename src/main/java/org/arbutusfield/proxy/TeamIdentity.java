package org.arbutusfield.proxy;

import io.vavr.control.Either;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.team.Team;
import org.arbutusfield.team.TeamDirectory;

/**
 * The team of a request under one version of the configuration.
 *
 * @param required whether the configuration has teams; if not, requests are handled as if there were no such thing
 * @param team the team; empty for a request on an open route without a valid key, and without teams
 */
record TeamIdentity(boolean required, Optional<Team> team) {
    /** Identity of every request while the configuration has no teams. */
    static final TeamIdentity NONE = new TeamIdentity(false, Optional.empty());

    /**
     * Identifies the team of a request.
     *
     * @param credentials what the request states
     * @param open whether its route is open to requests without a key
     * @param teams the teams of the configuration
     * @return the identity; {@code KEY_UNKNOWN}; or {@code HOST_BUSY} if a host that forwarded the request has not
     *     identified it, or knows a team that this host doesn't, so that it asks another host
     */
    static Either<Failure, TeamIdentity> of(TeamCredentials credentials, boolean open, TeamDirectory teams) {
        if (teams.isEmpty()) {
            return Either.right(NONE);
        }
        Optional<Team> team = credentials.forwarded()
                ? credentials.forwardedTeam().flatMap(teams::byName)
                : credentials.key().flatMap(teams::byKey);
        if (team.isPresent() || open) {
            return Either.right(new TeamIdentity(true, team));
        }
        return Either.left(refusal(credentials));
    }

    private static Failure refusal(TeamCredentials credentials) {
        if (!credentials.forwarded()) {
            boolean stated = credentials.key().isPresent();
            return Failure.of(ErrorCode.KEY_UNKNOWN, "authorization", stated ? "unknown_key" : "no_valid_field");
        }
        boolean stated = credentials.forwardedTeam().isPresent();
        return Failure.of(
                ErrorCode.HOST_BUSY, ProxyHeaders.TEAM, stated ? "team_unknown_here" : "forwarded_without_team");
    }
}
