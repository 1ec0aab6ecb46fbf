package org.arbutusfield.share;

import java.time.Duration;

/**
 * What all hosts may send beyond a team's limit where the bound can't be kept exactly.
 *
 * @param window length of the windows
 * @param over fraction of the requests that the limit allows in a window
 * @param slack requests in a window in addition
 */
public record ShareTolerance(Duration window, double over, double slack) {
    /** Nothing beyond the limit. */
    public static final ShareTolerance NONE = new ShareTolerance(Duration.ofSeconds(1), 0, 0);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the requests in a window beyond a limit. */
    public double requests(TeamLimit limit) {
        return over * (limit.ratePerSecond() * windowSeconds() + limit.burst()) + slack;
    }

    /** Returns the length of the windows in seconds. */
    public double windowSeconds() {
        return window.toNanos() / NANOS_PER_SECOND;
    }
}
