package org.arbutusfield.proxy;

import java.time.Duration;
import org.arbutusfield.model.Upstream;

/**
 * A request whose connection was lost while an upstream may have been running it.
 *
 * @param requestId id of the request
 * @param fingerprint digest that is equal when the same caller sends the same request again
 * @param upstream the upstream
 * @param sinceSent time from sending the request to the loss
 * @param lostNanos monotonic time of the loss
 * @param upstreamEnded whether the upstream refused a new connection right after the loss
 */
public record InterruptedRun(
        String requestId,
        String fingerprint,
        Upstream upstream,
        Duration sinceSent,
        long lostNanos,
        boolean upstreamEnded) {}
