package org.arbutusfield.state;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The entry that an upstream writes about itself.
 *
 * @param id id of the entry; a later start of the upstream may use it again
 * @param service service that it runs
 * @param failureDomain failure domain of the upstream
 * @param address where it accepts requests
 * @param slots number of requests that it runs concurrently
 * @param draining whether it is about to stop
 * @param coldRemaining time for which it stays cold, counted from this report; zero when warm
 * @param startMillis wall-clock time of its start in milliseconds, which distinguishes starts with the same id; 0 if
 *     unknown
 */
public record UpstreamEntry(
        String id,
        String service,
        String failureDomain,
        InetSocketAddress address,
        int slots,
        boolean draining,
        Duration coldRemaining,
        long startMillis) {}
