package org.arbutusfield.share;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.wire.gen.ShareAnswer;
import org.arbutusfield.wire.gen.ShareGrant;

/**
 * The answer of the lender to a report.
 *
 * @param version version of the configuration that the lender knows
 * @param term random number of the lender's term
 * @param teams the grants; without teams that it doesn't know, or for which it needs a report of its present term
 */
record LenderAnswer(long version, long term, List<TeamGrant> teams) {
    LenderAnswer {
        teams = List.copyOf(teams);
    }

    static LenderAnswer decode(ShareAnswer message) {
        return new LenderAnswer(
                message.getVersion(),
                message.getTerm(),
                message.getTeams().stream().map(LenderAnswer::decode).toList());
    }

    ShareAnswer encode() {
        return new ShareAnswer(version, teams.stream().map(LenderAnswer::encode).toList(), term);
    }

    private static TeamGrant decode(ShareGrant grant) {
        return new TeamGrant(
                grant.getTeam(),
                grant.getNumber(),
                grant.getRate(),
                grant.getBurst(),
                grant.getFilled(),
                grant.getTokens(),
                Duration.ofMillis(grant.getRetryMillis()),
                new TeamLimit(grant.getLimitRate(), grant.getLimitBurst()));
    }

    private static ShareGrant encode(TeamGrant grant) {
        return new ShareGrant(
                grant.team(),
                grant.number(),
                grant.rate(),
                grant.burst(),
                grant.tokens(),
                grant.retryAfter().toMillis(),
                grant.limit().ratePerSecond(),
                grant.limit().burst(),
                grant.filled());
    }
}
