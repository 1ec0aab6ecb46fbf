package org.arbutusfield.shift;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Lends the surplus of one cap to the hosts that need it.
 *
 * <p><b>Problem.</b> One process lends, and any process may take over at any moment, while its predecessor is dead,
 * paused, or disconnected and still believes that it may lend.
 *
 * <p><b>Idea.</b> The right to lend is a lease in the store, measured on the holder's own clock from the moment it sent
 * the request that acquired or renewed it. Live hosts choose by rendezvous hashing which of them tries to acquire the
 * lease, but safety depends only on the lease. Permits are counted when lent, over the interval plus the length of a
 * grant, so that any interval of uses falls within one counted span.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>Nothing is lent at or after the end of the lease, less a margin; this is checked at the moment of lending.
 *   <li>A new holder lends nothing for one interval plus one grant length: after that, no interval reaches back to a
 *       grant of its predecessor. A holder that regains the lease with the same fencing token continues, since nobody
 *       else lent in between.
 *   <li>Permits lent within one counted span never exceed the surplus in force; after the cap is lowered, nothing is
 *       lent until older permits have left the span.
 *   <li>A return is credited once, and only for a grant of this lender. A request that arrives again gets the same
 *       grant.
 * </ul>
 *
 * <p><b>Example.</b> With a surplus of 600 in 60 s and grants of 3 s, at most 600 permits are lent in any 63 s plus a
 * small allowance for drift. Three hosts request permits; each may get a third of what is left.
 *
 * <p>Not thread-safe: the owner serializes calls.
 */
public final class PermitLender {
    private static final double LEASE_MARGIN = 0.1;

    private final Map<PermitGrant.Id, Lent> outstanding = new LinkedHashMap<>();
    private final Map<String, Long> requesters = new HashMap<>();
    private CapShares shares;
    private SlidingWindowCounter lent;
    private long token;
    private long leaseUntilNanos;
    private long lendingStartNanos;

    private PermitLender(CapShares shares, long token, long nowNanos) {
        this.token = token;
        reset(shares, nowNanos);
    }

    /**
     * A host's request for permits.
     *
     * @param host name of the host
     * @param id identifies the request and its grant
     * @param permits how many it can use
     * @param returns grants that it returns
     */
    public record Request(String host, PermitGrant.Id id, long permits, List<PermitGrant.Return> returns) {
        /** Copies the list so that the request is immutable. */
        public Request {
            returns = List.copyOf(returns);
        }
    }

    /**
     * Creates a lender that has just acquired the lease.
     *
     * @param shares the cap in force
     * @param lease the lease
     * @param nowNanos monotonic time at which the store's response arrived
     */
    public static PermitLender open(CapShares shares, Lease lease, long nowNanos) {
        PermitLender lender = new PermitLender(shares, lease.token(), nowNanos);
        lender.leaseUntilNanos = lease.untilNanos();
        return lender;
    }

    /**
     * A lease as measured by its holder.
     *
     * @param token fencing token
     * @param requestedNanos when the request that acquired or renewed the lease was sent
     * @param lengthNanos length of the lease
     */
    public record Lease(long token, long requestedNanos, long lengthNanos) {
        /** When the holder must stop lending; includes a margin for drift of its clock. */
        long untilNanos() {
            return requestedNanos + (long) (lengthNanos * (1 - LEASE_MARGIN));
        }
    }

    /**
     * Extends the right to lend. A different token means that others may have lent in between, so the lender waits
     * until their grants have expired.
     */
    public void renew(Lease lease, long nowNanos) {
        if (lease.token() != token) {
            token = lease.token();
            reset(shares, nowNanos);
        }
        leaseUntilNanos = lease.untilNanos();
    }

    /** Installs a changed cap; after a change of the interval nothing is lent until older grants have expired. */
    public void apply(CapShares changed, long nowNanos) {
        if (changed.intervalNanos() != shares.intervalNanos()) {
            reset(changed, nowNanos);
        }
        shares = changed;
    }

    /**
     * Lends permits.
     *
     * @param request the host's request
     * @param headroom number of requests that the receiving region can take during a grant
     * @param nowNanos monotonic time
     * @return the grant; {@code LEASE_LAPSED} if this process may not lend, {@code CAP_REACHED} if nothing is left
     */
    public Either<Failure, PermitGrant> lend(Request request, long headroom, long nowNanos) {
        credit(request.returns(), nowNanos);
        if (nowNanos - leaseUntilNanos >= 0) {
            return Either.left(Failure.of(ErrorCode.LEASE_LAPSED, shares.cap().key()));
        }
        if (nowNanos - lendingStartNanos < 0) {
            return refusal(lendingStartNanos - nowNanos);
        }
        Lent earlier = outstanding.get(request.id());
        if (earlier != null) {
            return Either.right(earlier.grant);
        }
        requesters.put(request.host(), nowNanos);
        long left = available(nowNanos);
        long fairShare = Math.max(1, left / activeRequesters(nowNanos));
        long permits = Math.min(Math.min(request.permits(), fairShare), Math.min(left, headroom));
        if (permits <= 0) {
            return refusal(shares.grantNanos());
        }
        lent.add(permits, nowNanos);
        PermitGrant grant =
                new PermitGrant(request.id(), permits, shares.surplus(), shares.intervalNanos(), shares.grantNanos());
        outstanding.put(request.id(), new Lent(grant, nowNanos));
        return Either.right(grant);
    }

    /** Permits that can be lent now. */
    public long available(long nowNanos) {
        return Math.max(0, shares.surplus() - lent.outerSum(nowNanos));
    }

    private void reset(CapShares fresh, long nowNanos) {
        long span = fresh.lentSpanNanos();
        shares = fresh;
        lent = SlidingWindowCounter.over(span, nowNanos);
        outstanding.clear();
        lendingStartNanos = nowNanos + span;
    }

    private void credit(List<PermitGrant.Return> returns, long nowNanos) {
        for (PermitGrant.Return returned : returns) {
            Lent credited = outstanding.remove(returned.id());
            if (credited != null) {
                lent.subtract(Math.min(returned.unused(), credited.grant.permits()), credited.lentNanos, nowNanos);
            }
        }
        long expiryLimit = nowNanos - 2 * shares.lentSpanNanos();
        outstanding.values().removeIf(lentGrant -> lentGrant.lentNanos - expiryLimit < 0);
    }

    private int activeRequesters(long nowNanos) {
        requesters.values().removeIf(requestedNanos -> nowNanos - requestedNanos > 2 * shares.grantNanos());
        return Math.max(1, requesters.size());
    }

    private Either<Failure, PermitGrant> refusal(long waitNanos) {
        return Either.left(
                Failure.of(ErrorCode.CAP_REACHED, shares.cap().key()).withRetryAfter(Duration.ofNanos(waitNanos)));
    }

    private record Lent(PermitGrant grant, long lentNanos) {}
}
