package org.arbutusfield.steering;

import java.time.Duration;

/**
 * Why the placement refused a request because of load.
 *
 * @param reason the reason
 * @param rank rank of the request; 0 is the most urgent
 * @param upstream name of the upstream that it would have been sent to
 * @param expectedWait expected time until a slot is free there
 * @param expectedWork expected time in the slot
 * @param remaining time left until the request's deadline
 * @param knowledgeAge age of the upstream's statement
 * @param alternatives number of other upstreams that were considered
 * @param retryAfter time after which the caller may ask again
 */
public record PlacementRefusal(
        Reason reason,
        int rank,
        String upstream,
        Duration expectedWait,
        Duration expectedWork,
        Duration remaining,
        Duration knowledgeAge,
        int alternatives,
        Duration retryAfter) {

    /** Why a request was refused. */
    public enum Reason {
        /** No upstream is known to end it before its deadline. */
        DEADLINE,
        /** More urgent requests would miss their targets behind it. */
        RANK
    }
}
