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
 * What one host may move from one region to another for one service.
 *
 * <p><b>Problem.</b> The cap holds for the sum over all hosts in every interval of its length, while hosts join, die,
 * pause and wake, the store is down, and the cap itself changes. No host may ask anybody before each request.
 *
 * <p><b>Idea.</b> The cap is split into a base share per host, which is always usable, and a surplus, which a
 * {@link PermitLender} hands out as permits for one request each. A base share is counted over a sliding interval, so
 * there is no boundary at which it could be used twice.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>A process uses its base share only after it has run for a whole interval. Hence every process that uses base in
 *       some interval was alive at that interval's start; they were alive together, so that there are at most as many
 *       as the ceiling of hosts, however often hosts are replaced.
 *   <li>A permit is used only while its grant lives, measured on this host's monotonic clock from the moment it
 *       <em>asked</em>, less a margin for drift, and checked at the moment of use. A delayed answer or a pause can only
 *       shorten the grant. The lender counts permits over interval + grant length, which covers every use.
 *   <li>An answer counts once, and only for the question that this very process asked.
 *   <li>A grant made under a larger surplus than the one in force here is discarded, so that a lower cap takes effect
 *       at once and a lender that has not heard of it does no harm.
 * </ul>
 *
 * <p><b>Example.</b> 1,200 per 60 s and a ceiling of 24 hosts: base 25 per host (600), surplus 600. A host with a burst
 * uses 25, then asks for permits that live 3 s.
 *
 * <p>Not thread-safe: the owner serialises calls.
 */
public final class CapAllowance {
    private static final double CLOCK_MARGIN = 0.1;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final long incarnation;
    private final long startedNanos;
    private final Map<Long, Long> pending = new HashMap<>();
    private long asked;
    private CapShares terms;
    private SlidingWindowCounter baseUsed;
    private SlidingWindowCounter wanted;
    private ShareLimiter meter;
    private final Deque<Held> grants = new ArrayDeque<>();
    private final Map<Long, Returned> returns = new TreeMap<>();

    private CapAllowance(CapShares terms, Incarnation incarnation, long nowNanos) {
        this.incarnation = incarnation.id();
        this.startedNanos = incarnation.startedNanos();
        reset(terms, nowNanos);
    }

    /**
     * The process that an allowance belongs to.
     *
     * @param id differs between any two processes, also those of one host
     * @param startedNanos when the process started, on its monotonic clock
     */
    public record Incarnation(long id, long startedNanos) {}

    /** Which share a moved request was taken from. */
    public enum Source {
        /** The base share of this host. */
        BASE,
        /** A permit lent by the lender. */
        GRANT
    }

    /**
     * A request that may be moved.
     *
     * @param source the share it was taken from
     * @param usedNanos when it was taken
     */
    public record Permit(Source source, long usedNanos) {}

    /**
     * The allowance of a running process.
     *
     * @param terms the cap in force
     * @param incarnation this process
     * @param nowNanos monotonic time
     */
    public static CapAllowance start(CapShares terms, Incarnation incarnation, long nowNanos) {
        return new CapAllowance(terms, incarnation, nowNanos);
    }

    /** The cap in force. */
    public CapShares terms() {
        return terms;
    }

    /** Puts a changed cap in force at once; what was used before still counts unless the interval changed. */
    public void apply(CapShares changed, long nowNanos) {
        if (changed.intervalNanos() != terms.intervalNanos()) {
            reset(changed, nowNanos);
        } else if (changed.cap().maxShare() != terms.cap().maxShare()) {
            meter = ShareLimiter.of(changed.cap().maxShare(), changed.baseSpanNanos(), nowNanos);
        }
        terms = changed;
    }

    /** Counts a request of the home region that this host has to place, moved or not. */
    public void countSeen(long nowNanos) {
        meter.countSeen(nowNanos);
    }

    /** True when one more request may be moved now. */
    public boolean permits(long nowNanos) {
        return meter.permits(nowNanos) && (baseLeft(nowNanos) > 0 || liveGrant(nowNanos) != null);
    }

    /** Takes a permit for one request, or fails with {@code CAP_REACHED}. */
    public Either<Failure, Permit> take(long nowNanos) {
        wanted.add(1, nowNanos);
        if (!permits(nowNanos)) {
            return Either.left(
                    Failure.of(ErrorCode.CAP_REACHED, terms.cap().key()).withRetryAfter(RETRY_AFTER));
        }
        Source source = baseLeft(nowNanos) > 0 ? Source.BASE : Source.GRANT;
        if (source == Source.BASE) {
            baseUsed.add(1, nowNanos);
        } else {
            liveGrant(nowNanos).left--;
        }
        meter.countMoved(nowNanos);
        return Either.right(new Permit(source, nowNanos));
    }

    /** Gives back the permit of a request that was refused and not run. A lent permit is not used again. */
    public void refund(Permit permit, long nowNanos) {
        meter.refund(permit.usedNanos(), nowNanos);
        if (permit.source() == Source.BASE) {
            baseUsed.subtract(1, permit.usedNanos(), nowNanos);
        }
    }

    /**
     * The question to send to the lender now, if permits are short or grants are to be given back.
     *
     * @param host name of this host
     * @param nowNanos monotonic time at which the question is sent
     */
    public Optional<PermitLender.Request> permitRequest(String host, long nowNanos) {
        discardDead(nowNanos);
        long permits = shortfall(nowNanos);
        if (permits == 0 && returns.isEmpty()) {
            return Optional.empty();
        }
        PermitGrant.Id id = new PermitGrant.Id(incarnation, ++asked);
        List<PermitGrant.Return> carried =
                returns.values().stream().map(Returned::what).toList();
        pending.put(id.sequence(), nowNanos);
        return Optional.of(new PermitLender.Request(host, id, permits, carried));
    }

    /** Takes in the lender's answer. An answer to no open question of this process is ignored. */
    public void receive(PermitGrant grant, long nowNanos) {
        long sequence = grant.id().sequence();
        Long askedNanos = grant.id().incarnation() == incarnation ? pending.remove(sequence) : null;
        if (askedNanos != null) {
            long usable = (long) (grant.lengthNanos() * (1 - CLOCK_MARGIN));
            grants.add(new Held(grant, askedNanos + usable));
            returns.values().removeIf(returned -> returned.bornNanos - askedNanos <= 0);
        }
        discardDead(nowNanos);
    }

    /** What the latest rate of moves needs for two grant lengths, less what is at hand. */
    private long shortfall(long nowNanos) {
        long needed = 2 * wanted.outerSum(nowNanos);
        if (needed == 0 || terms.surplus() == 0) {
            return 0;
        }
        return Math.max(0, needed - baseLeft(nowNanos) - lent(nowNanos));
    }

    private void reset(CapShares fresh, long nowNanos) {
        terms = fresh;
        baseUsed = SlidingWindowCounter.over(fresh.baseSpanNanos(), nowNanos);
        wanted = SlidingWindowCounter.over(fresh.grantNanos(), nowNanos);
        meter = ShareLimiter.of(fresh.cap().maxShare(), fresh.baseSpanNanos(), nowNanos);
    }

    private long baseLeft(long nowNanos) {
        boolean ranOneInterval = nowNanos - startedNanos > terms.baseSpanNanos();
        return ranOneInterval ? Math.max(0, terms.basePerHost() - baseUsed.outerSum(nowNanos)) : 0;
    }

    private long lent(long nowNanos) {
        return grants.stream()
                .filter(held -> usable(held, nowNanos))
                .mapToLong(held -> held.left)
                .sum();
    }

    private Held liveGrant(long nowNanos) {
        for (Held held : grants) {
            if (usable(held, nowNanos)) {
                return held;
            }
        }
        return null;
    }

    private boolean usable(Held held, long nowNanos) {
        return held.left > 0 && !over(held, nowNanos);
    }

    private boolean over(Held held, long nowNanos) {
        return nowNanos - held.untilNanos >= 0
                || held.grant.surplus() > terms.surplus()
                || held.grant.intervalNanos() != terms.intervalNanos();
    }

    /** Gives up what can no longer be used: it is returned in each question until one is answered. */
    private void discardDead(long nowNanos) {
        returns.values().removeIf(returned -> nowNanos - returned.bornNanos > terms.lentSpanNanos());
        pending.entrySet().removeIf(open -> {
            boolean dead = nowNanos - open.getValue() > terms.grantNanos();
            if (dead) {
                giveUp(open.getKey(), Long.MAX_VALUE, nowNanos);
            }
            return dead;
        });
        grants.removeIf(held -> {
            boolean dead = held.left == 0 || over(held, nowNanos);
            if (dead && held.left > 0) {
                giveUp(held.grant.id().sequence(), held.left, nowNanos);
            }
            return dead;
        });
    }

    private void giveUp(long sequence, long unused, long nowNanos) {
        PermitGrant.Id id = new PermitGrant.Id(incarnation, sequence);
        returns.put(sequence, new Returned(new PermitGrant.Return(id, unused), nowNanos));
    }

    private record Returned(PermitGrant.Return what, long bornNanos) {}

    private static final class Held {
        private final PermitGrant grant;
        private final long untilNanos;
        private long left;

        private Held(PermitGrant grant, long untilNanos) {
            this.grant = grant;
            this.untilNanos = untilNanos;
            this.left = grant.permits();
        }
    }
}
