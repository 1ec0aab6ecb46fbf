package org.arbutusfield.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/** The slots in use, by token and by time of expiry. */
final class GrantTable {
    private final Map<SlotToken, LiveGrant> byToken = new HashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::nanos));

    private GrantTable() {}

    static GrantTable create() {
        return new GrantTable();
    }

    Optional<LiveGrant> find(SlotToken token) {
        return Optional.ofNullable(byToken.get(token));
    }

    /** When the next slot may expire; {@link Long#MAX_VALUE} when none is in use. */
    long nextExpiryNanos() {
        return expiries.isEmpty() ? Long.MAX_VALUE : expiries.peek().nanos();
    }

    void add(LiveGrant grant) {
        byToken.put(grant.token(), grant);
        grant.server().take();
        expiries.add(new Expiry(grant.token(), grant.expiryNanos()));
    }

    /** Ends a grant and frees its slot; empty when it had ended before. */
    Optional<LiveGrant> end(SlotToken token) {
        LiveGrant grant = byToken.remove(token);
        if (grant == null) {
            return Optional.empty();
        }
        grant.server().giveBack();
        return Optional.of(grant);
    }

    /** Ends the next grant whose time is over, if there is one. */
    Optional<LiveGrant> endExpired(long nowNanos) {
        while (nextExpiryNanos() <= nowNanos) {
            SlotToken token = expiries.remove().token();
            LiveGrant grant = byToken.get(token);
            if (grant == null) {
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
