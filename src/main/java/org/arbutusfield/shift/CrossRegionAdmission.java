package org.arbutusfield.shift;

/**
 * Admission of requests from other regions by the receiving region. Only the receiving region knows the use of its
 * slots exactly, so it decides, and a refused request was not run.
 */
public final class CrossRegionAdmission {
    /** Load limit for requests that their home region could also run: free slots only. */
    public static final double BALANCE_LIMIT = 1.0;

    /** Load limit for requests that their home region cannot run: they may be queued briefly. */
    public static final double FAILOVER_LIMIT = 1.2;

    private CrossRegionAdmission() {}

    /** The reason why a request comes from another region. */
    public enum Reason {
        /** Its home region could run it, at a higher cost. */
        BALANCE,
        /** Its home region cannot run it. */
        FAILOVER
    }

    /**
     * True if the region accepts one more request from another region.
     *
     * @param headroom the region's exact figures
     * @param reason why the request comes
     * @param foreign requests from other regions that are running or queued here
     * @param rampShare share of the full traffic that the caches allow, 0 to 1
     */
    public static boolean admits(RegionHeadroom headroom, Reason reason, int foreign, double rampShare) {
        double limit = headroom.slots() * (reason == Reason.FAILOVER ? FAILOVER_LIMIT : BALANCE_LIMIT);
        boolean hasCapacity = headroom.busy() + headroom.queued() + 1 <= limit;
        return hasCapacity && foreign + 1 <= Math.max(1, limit * rampShare);
    }
}
