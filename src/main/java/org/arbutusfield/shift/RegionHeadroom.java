package org.arbutusfield.shift;

/**
 * What a region's slot broker last said of a service there.
 *
 * @param region the region
 * @param slots slots of the service's usable servers
 * @param busy slots in use
 * @param queued requests that wait
 * @param expectedWaitMillis time until a new request would start, in milliseconds
 * @param serviceMillis mean time a request holds its slot, in milliseconds
 * @param measuredNanos when it was measured, on the reader's monotonic clock, without the link's delay
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
