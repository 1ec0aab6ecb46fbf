package org.arbutusfield.share;

/** How the count of a request against the limit of its team ended. */
public enum ShareOutcome {
    /** The request may be sent. */
    ALLOWED,
    /** The limit is used up. */
    LIMIT,
    /** No host leads, as far as this one knows. */
    NO_LEADER,
    /** The leader has not answered in time. */
    NO_ANSWER,
    /** The team is not in the configuration. */
    TEAM_REMOVED
}
