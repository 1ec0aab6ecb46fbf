package org.arbutusfield.distribution;

import java.time.Duration;
import org.arbutusfield.store.Lease;

/**
 * The period in which a holder may rely on its lease, by its own monotonic clock.
 *
 * <p>The store counts the lifetime of a lease from the moment when it receives the request, which is after the holder
 * sent it. The holder counts from the moment when it sent the request, and stops a margin earlier. Its term therefore
 * ends before the store's, whatever the delay of the request, as long as both clocks run at nearly the same rate.
 *
 * @param token fencing token
 * @param endNanos monotonic time from which the lease may not be relied on
 */
record LeaseTerm(long token, long endNanos) {
    /** The term of a lease that was requested at the given time. */
    static LeaseTerm of(Lease lease, long sentNanos, Duration margin) {
        return new LeaseTerm(
                lease.token(), sentNanos + lease.duration().minus(margin).toNanos());
    }

    /** True while the lease may be relied on. */
    boolean validAt(long nowNanos) {
        return nowNanos - endNanos < 0;
    }
}
