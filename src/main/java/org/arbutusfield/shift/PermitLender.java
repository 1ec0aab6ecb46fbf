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
 * paused, or cut off and sure that it still lends.
 *
 * <p><b>Idea.</b> The right to lend is a lease of the store, measured on the holder's own clock from the moment it sent
 * the call that took or renewed it. Live hosts agree by rendezvous hashing who tries for the lease, but safety rests on
 * the lease only. Permits are counted when lent, over the interval plus the life of a grant, so that any interval of
 * uses falls within one counted span.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>Nothing is lent at or after the lease's end, less a margin, checked at the moment of lending.
 *   <li>A new holder lends nothing for one interval plus one grant length: by then no interval reaches back to a grant
 *       of its predecessor. A holder that gets the lease back under the same fencing token goes on, since nobody lent
 *       in between.
 *   <li>Permits lent within one counted span never exceed the surplus in force; after a lower cap nothing is lent until
 *       older permits have left the span.
 *   <li>A return is credited once, and only for a grant of this lender. A question asked twice gets the same grant.
 * </ul>
 *
 * <p><b>Example.</b> Surplus 600 in 60 s and grants of 3 s: at most 600 permits in any 63 s and a little more for
 * drift. Three hosts ask; each may get a third of what is left.
 *
 * <p>Not thread-safe: the owner serialises calls.
 */
public final class PermitLender {
    private static final double LEASE_MARGIN = 0.1;

    private final Map<PermitGrant.Id, Lent> outstanding = new LinkedHashMap<>();
    private final Map<String, Long> askers = new HashMap<>();
    private CapShares terms;
    private SlidingWindowCounter lent;
    private long token;
    private long leaseUntilNanos;
    private long openFromNanos;

    private PermitLender(CapShares terms, long token, long nowNanos) {
        this.token = token;
        reset(terms, nowNanos);
    }

    /**
     * Permits that a host asks for.
     *
     * @param host name of the host
     * @param id name of the question and of its grant
     * @param permits how many it can use
     * @param returns grants that it gives back
     */
    public record Request(String host, PermitGrant.Id id, long permits, List<PermitGrant.Return> returns) {
        /** Copies the list so that the question stays immutable. */
        public Request {
            returns = List.copyOf(returns);
        }
    }

    /**
     * A lender that has just taken the lease.
     *
     * @param terms the cap in force
     * @param hold the lease as this process may count on it
     * @param nowNanos monotonic time at which the store's answer arrived
     */
    public static PermitLender open(CapShares terms, Lease hold, long nowNanos) {
        PermitLender lender = new PermitLender(terms, hold.token(), nowNanos);
        lender.leaseUntilNanos = hold.untilNanos();
        return lender;
    }

    /**
     * A lease as its holder may count on it.
     *
     * @param token fencing token
     * @param askedNanos when the call that took or renewed the lease was sent
     * @param lengthNanos length of the lease
     */
    public record Lease(long token, long askedNanos, long lengthNanos) {
        /** When the holder must stop, with a margin for drift of its clock. */
        long untilNanos() {
            return askedNanos + (long) (lengthNanos * (1 - LEASE_MARGIN));
        }
    }

    /** Extends the right to lend; under another token everything lent before is somebody else's and is waited out. */
    public void renew(Lease hold, long nowNanos) {
        if (hold.token() != token) {
            token = hold.token();
            reset(terms, nowNanos);
        }
        leaseUntilNanos = hold.untilNanos();
    }

    /** Puts a changed cap in force; a changed interval is waited out. */
    public void apply(CapShares changed, long nowNanos) {
        if (changed.intervalNanos() != terms.intervalNanos()) {
            reset(changed, nowNanos);
        }
        terms = changed;
    }

    /**
     * Lends permits.
     *
     * @param ask what a host asks for
     * @param headroom requests that the receiving region can take during a grant
     * @param nowNanos monotonic time
     * @return the grant; {@code LEASE_LAPSED} when this process may not lend, {@code CAP_REACHED} when nothing is left
     */
    public Either<Failure, PermitGrant> lend(Request ask, long headroom, long nowNanos) {
        credit(ask.returns(), nowNanos);
        if (nowNanos - leaseUntilNanos >= 0) {
            return Either.left(Failure.of(ErrorCode.LEASE_LAPSED, terms.cap().key()));
        }
        if (nowNanos - openFromNanos < 0) {
            return refusal(openFromNanos - nowNanos);
        }
        Lent earlier = outstanding.get(ask.id());
        if (earlier != null) {
            return Either.right(earlier.grant);
        }
        askers.put(ask.host(), nowNanos);
        long left = available(nowNanos);
        long fair = Math.max(1, left / activeAskers(nowNanos));
        long permits = Math.min(Math.min(ask.permits(), fair), Math.min(left, headroom));
        if (permits <= 0) {
            return refusal(terms.grantNanos());
        }
        lent.add(permits, nowNanos);
        PermitGrant grant =
                new PermitGrant(ask.id(), permits, terms.surplus(), terms.intervalNanos(), terms.grantNanos());
        outstanding.put(ask.id(), new Lent(grant, nowNanos));
        return Either.right(grant);
    }

    /** Permits left to lend now. */
    public long available(long nowNanos) {
        return Math.max(0, terms.surplus() - lent.outerSum(nowNanos));
    }

    private void reset(CapShares fresh, long nowNanos) {
        long span = fresh.lentSpanNanos();
        terms = fresh;
        lent = SlidingWindowCounter.over(span, nowNanos);
        outstanding.clear();
        openFromNanos = nowNanos + span;
    }

    private void credit(List<PermitGrant.Return> returns, long nowNanos) {
        for (PermitGrant.Return returned : returns) {
            Lent grant = outstanding.remove(returned.id());
            if (grant != null) {
                lent.subtract(Math.min(returned.unused(), grant.grant.permits()), grant.lentNanos, nowNanos);
            }
        }
        long forgetBefore = nowNanos - 2 * terms.lentSpanNanos();
        outstanding.values().removeIf(grant -> grant.lentNanos - forgetBefore < 0);
    }

    private int activeAskers(long nowNanos) {
        askers.values().removeIf(askedNanos -> nowNanos - askedNanos > 2 * terms.grantNanos());
        return Math.max(1, askers.size());
    }

    private Either<Failure, PermitGrant> refusal(long waitNanos) {
        return Either.left(
                Failure.of(ErrorCode.CAP_REACHED, terms.cap().key()).withRetryAfter(Duration.ofNanos(waitNanos)));
    }

    private record Lent(PermitGrant grant, long lentNanos) {}
}
