package org.arbutusfield.state;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * An upstream's report of itself.
 *
 * @param id id of this start of the upstream
 * @param service service that it runs
 * @param failureDomain failure domain that it stands in
 * @param address where it takes requests
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave
 * @param coldRemaining how long it stays cold from the moment of the report; zero when warm
 * @param startMillis wall-clock time of its start in milliseconds; tells starts under one id apart; 0 if unknown
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
