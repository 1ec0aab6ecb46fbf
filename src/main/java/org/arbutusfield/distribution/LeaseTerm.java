package org.arbutusfield.distribution;

import java.time.Duration;
import org.arbutusfield.store.Lease;

/**
 * What a holder may rely on of a lease, on its own monotonic clock.
 *
 * <p>The store counts a lease's life from when it received the call, which is after the holder sent it. The holder
 * counts from when it sent the call and stops a margin earlier, so its term ends before the store's whatever the call's
 * delay, as long as both clocks run at nearly the same rate.
 *
 * @param token fencing token
 * @param endNanos monotonic time from which the lease may not be relied on
 */
record LeaseTerm(long token, long endNanos) {
    /** The term of a lease that was asked for at a time. */
    static LeaseTerm of(Lease lease, long sentNanos, Duration margin) {
        return new LeaseTerm(
                lease.token(), sentNanos + lease.duration().minus(margin).toNanos());
    }

    /** True while the lease may be relied on. */
    boolean validAt(long nowNanos) {
        return nowNanos - endNanos < 0;
    }
}
