package org.arbutusfield.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The slots in use, indexed by the first use of their grant and by expiry time. Ending a use also ends all earlier uses
 * of the same grant.
 */
final class GrantTable {
    private final Map<SlotToken, ActiveGrant> byToken = new HashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::nanos));

    private GrantTable() {}

    static GrantTable create() {
        return new GrantTable();
    }

    Optional<ActiveGrant> find(SlotToken token) {
        return Optional.ofNullable(byToken.get(token.first()));
    }

    /** The earliest time at which a slot may expire; {@link Long#MAX_VALUE} if none is in use. */
    long nextExpiryNanos() {
        return expiries.isEmpty() ? Long.MAX_VALUE : expiries.peek().nanos();
    }

    void add(ActiveGrant grant) {
        byToken.put(grant.token().first(), grant);
        grant.server().acquire();
        expiries.add(new Expiry(grant.token(), grant.expiryNanos()));
    }

    /** Ends a use and frees its slot; returns empty if the use had already ended or the slot was taken over. */
    Optional<ActiveGrant> end(SlotToken token) {
        ActiveGrant grant = byToken.get(token.first());
        if (grant == null || grant.token().use() > token.use()) {
            return Optional.empty();
        }
        byToken.remove(token.first());
        grant.server().release();
        return Optional.of(grant);
    }

    /** Ends the next grant that has expired, if there is one. */
    Optional<ActiveGrant> endExpired(long nowNanos) {
        while (nextExpiryNanos() <= nowNanos) {
            SlotToken token = expiries.remove().token();
            ActiveGrant grant = byToken.get(token.first());
            if (grant == null || grant.token().use() != token.use()) {
                continue;
            }
            if (grant.expiryNanos() <= nowNanos) {
                return end(token);
            }
            expiries.add(new Expiry(token, grant.expiryNanos()));
        }
        return Optional.empty();
    }

    private record Expiry(SlotToken token, long nanos) {}
}
