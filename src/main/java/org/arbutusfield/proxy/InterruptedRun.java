package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.List;
import org.arbutusfield.model.Upstream;

/**
 * A request whose connection was lost while an upstream may have been running it.
 *
 * @param requestId id of the request
 * @param fingerprints digests that are equal when the request comes again, see {@link CrashGuard}
 * @param upstream the upstream
 * @param sinceSent time from sending the request to the loss
 * @param lostNanos monotonic time of the loss
 * @param upstreamEnded whether the upstream refused a new connection right after the loss
 */
public record InterruptedRun(
        String requestId,
        List<String> fingerprints,
        Upstream upstream,
        Duration sinceSent,
        long lostNanos,
        boolean upstreamEnded) {}
