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
 * @param sequence number of this report within the start, increasing; 0 if unknown
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
        long sequence,
        long startMillis) {

    /** Returns true if both entries are known to come from the same start of the same upstream. */
    public boolean sameStart(UpstreamEntry other) {
        return startMillis != 0 && startMillis == other.startMillis && id.equals(other.id);
    }

    /** Returns true if the upstream wrote this entry before the other one, as far as the entries tell. */
    public boolean isOlderThan(UpstreamEntry other) {
        if (sameStart(other)) {
            return sequence < other.sequence || (other.draining && !draining);
        }
        return startMillis != 0 && startMillis < other.startMillis;
    }
}
