package org.arbutusfield.shift;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The requests that one host may move from one region to another for one service.
 *
 * <p><b>Problem.</b> The cap holds for the sum over all hosts in every interval of its length, while hosts join, die,
 * pause and resume, the store is down, and the cap itself changes. A host cannot ask another process before each
 * request.
 *
 * <p><b>Idea.</b> The cap is split into a base share per host, which is always available, and a surplus, which a
 * {@link PermitLender} lends as permits for one request each. Use of the base share is counted over a sliding interval,
 * so there is no interval boundary at which it could be used twice.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>A process uses its base share only after it has run for a whole interval. Hence every process that uses base in
 *       some interval was alive at that interval's start. They were alive at the same time, so there are at most as
 *       many of them as the host ceiling, however often hosts are replaced.
 *   <li>A permit is used only while its grant is valid. Validity is measured on this host's monotonic clock from the
 *       moment it <em>requested</em> the grant, less a margin for clock drift, and checked at the moment of use. A
 *       delayed response or a pause can only shorten the grant. The lender counts permits over interval + grant length,
 *       which covers every use.
 *   <li>A grant counts once, and only for a permit request that this very process sent.
 *   <li>A grant made under a larger surplus than the one in force here is discarded, so that a lower cap takes effect
 *       at once and a lender that does not know it yet does no harm.
 * </ul>
 *
 * <p><b>Example.</b> 1,200 requests per 60 s and a ceiling of 24 hosts: base 25 per host (600 in total), surplus 600. A
 * host with a burst uses its 25 and then requests permits that are valid for 3 s.
 *
 * <p>Not thread-safe: the owner serializes calls.
 */
public final class CapAllowance {
    private static final double CLOCK_MARGIN = 0.1;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final long incarnation;
    private final long startedNanos;
    private final Map<Long, Long> pending = new HashMap<>();
    private long lastSequence;
    private CapShares shares;
    private SlidingWindowCounter baseUses;
    private SlidingWindowCounter requestedMoves;
    private ShareLimiter shareLimiter;
    private final Deque<HeldGrant> grants = new ArrayDeque<>();
    private final Map<Long, PendingReturn> returns = new TreeMap<>();

    private CapAllowance(CapShares shares, Incarnation incarnation, long nowNanos) {
        this.incarnation = incarnation.id();
        this.startedNanos = incarnation.startedNanos();
        reset(shares, nowNanos);
    }

    /**
     * The process that an allowance belongs to.
     *
     * @param id differs between any two processes, including those of one host
     * @param startedNanos when the process started, on its monotonic clock
     */
    public record Incarnation(long id, long startedNanos) {}

    /** The share that a moved request was taken from. */
    public enum Source {
        /** The base share of this host. */
        BASE,
        /** A permit from the lender. */
        GRANT
    }

    /**
     * A permit to move one request.
     *
     * @param source the share it was taken from
     * @param usedNanos when it was taken
     */
    public record Permit(Source source, long usedNanos) {}

    /**
     * Creates the allowance of a running process.
     *
     * @param shares the cap in force
     * @param incarnation this process
     * @param nowNanos monotonic time
     */
    public static CapAllowance start(CapShares shares, Incarnation incarnation, long nowNanos) {
        return new CapAllowance(shares, incarnation, nowNanos);
    }

    /** The cap in force. */
    public CapShares shares() {
        return shares;
    }

    /** Installs a changed cap at once; previous use still counts unless the interval changed. */
    public void apply(CapShares changed, long nowNanos) {
        if (changed.intervalNanos() != shares.intervalNanos()) {
            reset(changed, nowNanos);
        } else if (changed.cap().maxShare() != shares.cap().maxShare()) {
            shareLimiter = ShareLimiter.of(changed.cap().maxShare(), changed.baseSpanNanos(), nowNanos);
        }
        shares = changed;
    }

    /** Counts a request of the home region that this host has to place, whether or not it is moved. */
    public void countSeen(long nowNanos) {
        shareLimiter.countSeen(nowNanos);
    }

    /** True if one more request may be moved now. */
    public boolean permits(long nowNanos) {
        return shareLimiter.permits(nowNanos) && (baseLeft(nowNanos) > 0 || usableGrant(nowNanos) != null);
    }

    /** Takes a permit for one request, or fails with {@code CAP_REACHED}. */
    public Either<Failure, Permit> take(long nowNanos) {
        requestedMoves.add(1, nowNanos);
        if (!permits(nowNanos)) {
            return Either.left(
                    Failure.of(ErrorCode.CAP_REACHED, shares.cap().key()).withRetryAfter(RETRY_AFTER));
        }
        Source source = baseLeft(nowNanos) > 0 ? Source.BASE : Source.GRANT;
        if (source == Source.BASE) {
            baseUses.add(1, nowNanos);
        } else {
            usableGrant(nowNanos).left--;
        }
        shareLimiter.countMoved(nowNanos);
        return Either.right(new Permit(source, nowNanos));
    }

    /** Refunds the permit of a request that was refused and not run. A lent permit is not used again. */
    public void refund(Permit permit, long nowNanos) {
        shareLimiter.refund(permit.usedNanos(), nowNanos);
        if (permit.source() == Source.BASE) {
            baseUses.subtract(1, permit.usedNanos(), nowNanos);
        }
    }

    /**
     * Returns the request to send to the lender now; empty if enough permits are available and nothing is to be
     * returned.
     *
     * @param host name of this host
     * @param nowNanos monotonic time at which the request is sent
     */
    public Optional<PermitLender.Request> permitRequest(String host, long nowNanos) {
        discardExpired(nowNanos);
        long permits = missingPermits(nowNanos);
        if (permits == 0 && returns.isEmpty()) {
            return Optional.empty();
        }
        PermitGrant.Id id = new PermitGrant.Id(incarnation, ++lastSequence);
        List<PermitGrant.Return> carried =
                returns.values().stream().map(PendingReturn::permitReturn).toList();
        pending.put(id.sequence(), nowNanos);
        return Optional.of(new PermitLender.Request(host, id, permits, carried));
    }

    /** Handles a grant from the lender. A grant that belongs to no pending request of this process is ignored. */
    public void receive(PermitGrant grant, long nowNanos) {
        long sequence = grant.id().sequence();
        Long requestedNanos = grant.id().incarnation() == incarnation ? pending.remove(sequence) : null;
        if (requestedNanos != null) {
            long usable = (long) (grant.lengthNanos() * (1 - CLOCK_MARGIN));
            grants.add(new HeldGrant(grant, requestedNanos + usable));
            returns.values().removeIf(returned -> returned.createdNanos - requestedNanos <= 0);
        }
        discardExpired(nowNanos);
    }

    /** Permits needed for two grant lengths at the recent rate of moves, less those available. */
    private long missingPermits(long nowNanos) {
        long needed = 2 * requestedMoves.outerSum(nowNanos);
        if (needed == 0 || shares.surplus() == 0) {
            return 0;
        }
        return Math.max(0, needed - baseLeft(nowNanos) - lentPermits(nowNanos));
    }

    private void reset(CapShares fresh, long nowNanos) {
        shares = fresh;
        baseUses = SlidingWindowCounter.over(fresh.baseSpanNanos(), nowNanos);
        requestedMoves = SlidingWindowCounter.over(fresh.grantNanos(), nowNanos);
        shareLimiter = ShareLimiter.of(fresh.cap().maxShare(), fresh.baseSpanNanos(), nowNanos);
    }

    private long baseLeft(long nowNanos) {
        boolean ranOneInterval = nowNanos - startedNanos > shares.baseSpanNanos();
        return ranOneInterval ? Math.max(0, shares.basePerHost() - baseUses.outerSum(nowNanos)) : 0;
    }

    private long lentPermits(long nowNanos) {
        return grants.stream()
                .filter(held -> usable(held, nowNanos))
                .mapToLong(held -> held.left)
                .sum();
    }

    private HeldGrant usableGrant(long nowNanos) {
        for (HeldGrant held : grants) {
            if (usable(held, nowNanos)) {
                return held;
            }
        }
        return null;
    }

    private boolean usable(HeldGrant held, long nowNanos) {
        return held.left > 0 && !expired(held, nowNanos);
    }

    private boolean expired(HeldGrant held, long nowNanos) {
        return nowNanos - held.untilNanos >= 0
                || held.grant.surplus() > shares.surplus()
                || held.grant.intervalNanos() != shares.intervalNanos();
    }

    /**
     * Discards grants and requests that can no longer be used. Their returns are sent with each request until a grant
     * for one of these requests arrives.
     */
    private void discardExpired(long nowNanos) {
        returns.values().removeIf(returned -> nowNanos - returned.createdNanos > shares.lentSpanNanos());
        pending.entrySet().removeIf(open -> {
            boolean discard = nowNanos - open.getValue() > shares.grantNanos();
            if (discard) {
                scheduleReturn(open.getKey(), Long.MAX_VALUE, nowNanos);
            }
            return discard;
        });
        grants.removeIf(held -> {
            boolean discard = held.left == 0 || expired(held, nowNanos);
            if (discard && held.left > 0) {
                scheduleReturn(held.grant.id().sequence(), held.left, nowNanos);
            }
            return discard;
        });
    }

    private void scheduleReturn(long sequence, long unused, long nowNanos) {
        PermitGrant.Id id = new PermitGrant.Id(incarnation, sequence);
        returns.put(sequence, new PendingReturn(new PermitGrant.Return(id, unused), nowNanos));
    }

    private record PendingReturn(PermitGrant.Return permitReturn, long createdNanos) {}

    private static final class HeldGrant {
        private final PermitGrant grant;
        private final long untilNanos;
        private long left;

        private HeldGrant(PermitGrant grant, long untilNanos) {
            this.grant = grant;
            this.untilNanos = untilNanos;
            this.left = grant.permits();
        }
    }
}
