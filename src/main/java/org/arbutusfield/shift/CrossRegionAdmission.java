package org.arbutusfield.shift;

/**
 * The receiving region's own word on work from other regions. It alone knows its slots exactly, so it decides, and a
 * refused request was not run.
 */
public final class CrossRegionAdmission {
    /** Load up to which work is taken whose home region could run it later: free slots only. */
    public static final double BALANCE_LIMIT = 1.0;

    /** Load up to which work is taken whose home region cannot run it: it may wait a little. */
    public static final double FAILOVER_LIMIT = 1.2;

    private CrossRegionAdmission() {}

    /** Why a request comes from another region. */
    public enum Reason {
        /** Its home region could run it, at a higher cost. */
        BALANCE,
        /** Its home region cannot run it. */
        FAILOVER
    }

    /**
     * True when the region takes one more request of another region.
     *
     * @param headroom the region's exact figures
     * @param reason why the request comes
     * @param foreign requests of other regions that run or wait here
     * @param rampShare share that the caches allow, 0 to 1
     */
    public static boolean admits(RegionHeadroom headroom, Reason reason, int foreign, double rampShare) {
        double limit = headroom.slots() * (reason == Reason.FAILOVER ? FAILOVER_LIMIT : BALANCE_LIMIT);
        boolean room = headroom.busy() + headroom.queued() + 1 <= limit;
        return room && foreign + 1 <= Math.max(1, limit * rampShare);
    }
}
