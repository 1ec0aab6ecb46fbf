package org.arbutusfield.edge;

import java.util.Optional;
import org.arbutusfield.route.RouteTable;
import org.arbutusfield.share.TeamLimit;
import org.arbutusfield.share.TeamLimits;
import org.arbutusfield.team.Team;

/** The limits of teams in the operator's configuration. */
final class ConfiguredTeamLimits implements TeamLimits {
    /** Without it no whole request could ever be sent. */
    private static final double MIN_BURST = 1;

    private final RouteTable routes;

    private ConfiguredTeamLimits(RouteTable routes) {
        this.routes = routes;
    }

    /** Returns the limits of the configuration in force; none before the first one. */
    static TeamLimits of(Optional<RouteTable> routes) {
        return routes.<TeamLimits>map(ConfiguredTeamLimits::new).orElse(TeamLimits.NONE);
    }

    @Override
    public long version() {
        return routes.version();
    }

    @Override
    public Optional<TeamLimit> limit(String team) {
        return routes.teams()
                .byName(team)
                .filter(Team::limited)
                .map(limited -> new TeamLimit(limited.ratePerSecond(), Math.max(MIN_BURST, limited.burst())));
    }

    @Override
    public boolean any() {
        return routes.teams().teams().stream().anyMatch(Team::limited);
    }
}
