package org.arbutusfield.admission;

import java.util.HashSet;
import java.util.Set;

/** Tracks whether a new broker knows enough about the slots in use to start granting. */
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

    boolean complete(long nowNanos) {
        return awaited.isEmpty() || nowNanos >= endNanos;
    }

    /** The time at which the broker stops waiting for reports; {@link Long#MAX_VALUE} if it is not waiting. */
    long endNanos(long nowNanos) {
        return complete(nowNanos) ? Long.MAX_VALUE : endNanos;
    }

    void reported(String host) {
        awaited.remove(host);
    }
}
