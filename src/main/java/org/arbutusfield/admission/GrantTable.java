package org.arbutusfield.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/** The slots in use, by the first use of their grant and by time of expiry. A use ends itself and all before it. */
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

    /** When the next slot may expire; {@link Long#MAX_VALUE} when none is in use. */
    long nextExpiryNanos() {
        return expiries.isEmpty() ? Long.MAX_VALUE : expiries.peek().nanos();
    }

    void add(ActiveGrant grant) {
        byToken.put(grant.token().first(), grant);
        grant.server().take();
        expiries.add(new Expiry(grant.token(), grant.expiryNanos()));
    }

    /** Ends a use and frees its slot; empty when it had ended before or the slot was taken over. */
    Optional<ActiveGrant> end(SlotToken token) {
        ActiveGrant grant = byToken.get(token.first());
        if (grant == null || grant.token().use() > token.use()) {
            return Optional.empty();
        }
        byToken.remove(token.first());
        grant.server().giveBack();
        return Optional.of(grant);
    }

    /** Ends the next grant whose time is over, if there is one. */
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
