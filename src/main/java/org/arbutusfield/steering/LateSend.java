package org.arbutusfield.steering;

import java.time.Duration;

/**
 * A request that was sent long after it had been placed, or whose upstream has become limited in between.
 *
 * @param requestId id of the request
 * @param upstream name of the upstream
 * @param sincePlaced time from the placement to the sending
 * @param rateBefore requests per second that the upstream accepted from all hosts when the request was placed; 0 if it
 *     was not limited
 * @param rateNow the same when the request is sent
 */
public record LateSend(String requestId, String upstream, Duration sincePlaced, double rateBefore, double rateNow) {}
