package org.arbutusfield.admission;

import java.util.HashSet;
import java.util.Set;

/** Whether a new broker knows enough of the slots in use to grant any. */
final class BrokerRecovery {
    private final Set<String> awaited;
    private final long endNanos;

    private BrokerRecovery(Set<String> awaited, long endNanos) {
        this.awaited = awaited;
        this.endNanos = endNanos;
    }

    static BrokerRecovery awaiting(Set<String> hosts, long endNanos) {
        return new BrokerRecovery(new HashSet<>(hosts), endNanos);
    }

    boolean over(long nowNanos) {
        return awaited.isEmpty() || nowNanos >= endNanos;
    }

    /** When the broker stops waiting; {@link Long#MAX_VALUE} when it does not wait. */
    long endNanos(long nowNanos) {
        return over(nowNanos) ? Long.MAX_VALUE : endNanos;
    }

    void reported(String host) {
        awaited.remove(host);
    }
}
