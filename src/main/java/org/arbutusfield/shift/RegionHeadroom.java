package org.arbutusfield.shift;

/**
 * The latest figures of a region's slot broker for one service.
 *
 * @param region the region
 * @param slots slots of the service's usable upstreams
 * @param busy slots in use
 * @param queued requests in the queue
 * @param expectedWaitMillis time until a new request would start, in milliseconds
 * @param serviceMillis mean time for which a request holds its slot, in milliseconds
 * @param measuredNanos when the figures were measured, on the reader's monotonic clock, without the link's delay
 */
public record RegionHeadroom(
        String region,
        int slots,
        int busy,
        int queued,
        double expectedWaitMillis,
        double serviceMillis,
        long measuredNanos) {

    /** Demand relative to slots; infinite without slots. */
    public double load() {
        return slots == 0 ? Double.POSITIVE_INFINITY : (double) (busy + queued) / slots;
    }
}
