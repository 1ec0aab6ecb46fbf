package org.arbutusfield.share;

import java.util.Optional;

/** The limits of all teams in one version of the configuration. Immutable. */
public interface TeamLimits {
    /** No team has a limit. */
    TeamLimits NONE = new TeamLimits() {
        @Override
        public long version() {
            return 0;
        }

        @Override
        public Optional<TeamLimit> limit(String team) {
            return Optional.empty();
        }

        @Override
        public boolean any() {
            return false;
        }
    };

    /** Returns the version of the configuration; it never decreases. */
    long version();

    /** Returns the limit of a team; empty if it has none, or is not in the configuration. */
    Optional<TeamLimit> limit(String team);

    /** Returns true if any team has a limit. */
    boolean any();
}
