package org.arbutusfield.share;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether the whole fleet has restarted, so that a new leader needn't wait for the shares that a predecessor
 * lent.
 *
 * <p>Shares end with the processes that hold them. Once every registered host has reported to the leader, all that they
 * hold is counted. Hosts that aren't registered may hold shares too, if they were cut off from the store; this is
 * assumed not to occur if every registered process started about when the leader's did.
 *
 * <p>Not thread-safe.
 */
final class FleetRestart {
    /** Processes that end at the same moment start again within this time of each other. */
    private static final Duration SPREAD = Duration.ofSeconds(5);

    /** Above this uptime of the leader, the shares of the predecessor are waited out as usual. */
    private static final Duration MAX_LEADER_UPTIME = Duration.ofSeconds(20);

    /** By then the running hosts that reach the store are registered again, also after an outage of the store. */
    private static final Duration MIN_LEADER_UPTIME = Duration.ofMillis(4500);

    private final Map<String, Boolean> startedWithLeader = new HashMap<>();

    /** Forgets all reports, because another term has begun. */
    void clear() {
        startedWithLeader.clear();
    }

    /**
     * Records a report in the present term.
     *
     * @param host name of the host
     * @param uptimeMillis time since its process started; negative if the host doesn't tell
     * @param ownUptimeMillis time since the leader's process started
     */
    void reported(String host, long uptimeMillis, long ownUptimeMillis) {
        boolean together = uptimeMillis >= 0 && uptimeMillis <= ownUptimeMillis + SPREAD.toMillis();
        startedWithLeader.put(host, together);
    }

    /**
     * Returns true if all processes of the fleet have started together with the leader's, and have reported.
     *
     * @param registered names of all registered hosts
     * @param ownUptimeMillis time since the leader's process started
     */
    boolean complete(Collection<String> registered, long ownUptimeMillis) {
        return ownUptimeMillis >= MIN_LEADER_UPTIME.toMillis()
                && ownUptimeMillis <= MAX_LEADER_UPTIME.toMillis()
                && !registered.isEmpty()
                && registered.stream().allMatch(host -> startedWithLeader.getOrDefault(host, false));
    }
}
