package org.arbutusfield.shift;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.MoveRule;
import org.arbutusfield.model.ShiftCap;

/**
 * The single check that every move of a request between regions passes, whatever caused the move.
 *
 * <p>A request is moved if it runs in another region than its caller's home region, either because this host forwards
 * it or because a look-up sent the caller here. Without a movement rule no request may be moved; a rule without a cap
 * is not limited. Thread-safe: each pair of regions of a service has its own lock.
 */
public final class ShiftLimiter {
    private final CapAllowance.Incarnation incarnation;
    private final PauseDetector pauseDetector;
    private volatile PairLimiters pairLimiters = new PairLimiters(Map.of(), Map.of());

    private ShiftLimiter(CapAllowance.Incarnation incarnation) {
        this.incarnation = incarnation;
        this.pauseDetector = PauseDetector.start(incarnation.startedNanos());
    }

    /** Creates a limiter that permits nothing until a configuration is applied. */
    public static ShiftLimiter start(CapAllowance.Incarnation incarnation) {
        return new ShiftLimiter(incarnation);
    }

    /** Records that the process is running; call at least every {@link PauseDetector#LIMIT} / 4. */
    public void tick(long nowNanos) {
        pauseDetector.tick(nowNanos);
    }

    /**
     * Installs a configuration at once. Must also be called with an unchanged configuration after a pause, as soon as a
     * peer or the store has confirmed that it is current. Calls of this method must not overlap.
     */
    public void apply(Configuration configuration, long nowNanos) {
        Map<String, ShiftCap> caps = new TreeMap<>();
        configuration.items(ShiftCap.class).forEach(cap -> caps.put(cap.key(), cap));
        Map<String, MoveRule> rules = new TreeMap<>();
        configuration.items(MoveRule.class).forEach(rule -> rules.put(rule.key(), rule));
        Map<String, PairLimiter> byPair = new HashMap<>();
        Map<String, List<PairLimiter>> byHome = new HashMap<>();
        Set<String> keys = new TreeSet<>(caps.keySet());
        keys.addAll(rules.keySet());
        for (String key : keys) {
            PairLimiter pairLimiter = pairLimiters.byPair().getOrDefault(key, new PairLimiter());
            Optional<CapShares> shares =
                    Optional.ofNullable(caps.get(key)).map(cap -> CapShares.of(cap, configuration));
            pairLimiter.apply(rules.containsKey(key), shares, incarnation, nowNanos);
            byPair.put(key, pairLimiter);
            byHome.computeIfAbsent(key.substring(0, key.indexOf('>')), home -> new ArrayList<>())
                    .add(pairLimiter);
        }
        pairLimiters = new PairLimiters(byPair, byHome);
        pauseDetector.confirm(nowNanos);
    }

    /** Counts a request of a home region that this host has to place, for every region to which it could be moved. */
    public void countSeen(String service, String home, long nowNanos) {
        for (PairLimiter pairLimiter : pairLimiters.byHome().getOrDefault(service + "/" + home, List.of())) {
            pairLimiter.countSeen(nowNanos);
        }
    }

    /**
     * Takes a permit to run one request in another region.
     *
     * @return the permit, or {@code CAP_REACHED}, also if no rule allows the move
     */
    public Either<Failure, CapAllowance.Permit> take(String service, String from, String to, long nowNanos) {
        String key = key(service, from, to);
        if (!pauseDetector.runningSinceConfirmation(nowNanos)) {
            return Either.left(Failure.of(ErrorCode.CAP_REACHED, key, "paused; configuration not confirmed"));
        }
        PairLimiter pairLimiter = pairLimiters.byPair().get(key);
        return pairLimiter == null ? PairLimiter.refusal(key) : pairLimiter.take(key, nowNanos);
    }

    /** Refunds the permit of a request that the other region refused and did not run. */
    public void refund(String service, String from, String to, CapAllowance.Permit permit, long nowNanos) {
        PairLimiter pairLimiter = pairLimiters.byPair().get(key(service, from, to));
        if (pairLimiter != null) {
            pairLimiter.refund(permit, nowNanos);
        }
    }

    /**
     * Returns the request to send to the pair's lender now; empty if enough permits are available and nothing is to be
     * returned.
     */
    public Optional<PermitLender.Request> permitRequest(
            String service, String from, String to, String host, long nowNanos) {
        return Optional.ofNullable(pairLimiters.byPair().get(key(service, from, to)))
                .flatMap(pairLimiter -> pairLimiter.permitRequest(host, nowNanos));
    }

    /** Handles a grant from the pair's lender. */
    public void receive(String service, String from, String to, PermitGrant grant, long nowNanos) {
        PairLimiter pairLimiter = pairLimiters.byPair().get(key(service, from, to));
        if (pairLimiter != null) {
            pairLimiter.receive(grant, nowNanos);
        }
    }

    private static String key(String service, String from, String to) {
        return service + "/" + from + ">" + to;
    }

    /** The limiters of one configuration, by pair of regions and by home region. */
    private record PairLimiters(Map<String, PairLimiter> byPair, Map<String, List<PairLimiter>> byHome) {}

    /** Limiter of one pair of regions of one service, with its own lock; without an allowance it does not limit. */
    private static final class PairLimiter {
        private boolean allowed;
        private CapAllowance allowance;

        private static Either<Failure, CapAllowance.Permit> refusal(String key) {
            return Either.left(Failure.of(ErrorCode.CAP_REACHED, key, "no movement rule"));
        }

        private synchronized void apply(
                boolean hasRule, Optional<CapShares> shares, CapAllowance.Incarnation incarnation, long nowNanos) {
            allowed = hasRule;
            if (shares.isEmpty()) {
                allowance = null;
            } else if (allowance == null) {
                allowance = CapAllowance.start(shares.get(), incarnation, nowNanos);
            } else {
                allowance.apply(shares.get(), nowNanos);
            }
        }

        private synchronized void countSeen(long nowNanos) {
            if (allowance != null) {
                allowance.countSeen(nowNanos);
            }
        }

        private synchronized Either<Failure, CapAllowance.Permit> take(String key, long nowNanos) {
            if (!allowed) {
                return refusal(key);
            }
            return allowance == null
                    ? Either.right(new CapAllowance.Permit(CapAllowance.Source.BASE, nowNanos))
                    : allowance.take(nowNanos);
        }

        private synchronized void refund(CapAllowance.Permit permit, long nowNanos) {
            if (allowance != null) {
                allowance.refund(permit, nowNanos);
            }
        }

        private synchronized Optional<PermitLender.Request> permitRequest(String host, long nowNanos) {
            return allowance == null ? Optional.empty() : allowance.permitRequest(host, nowNanos);
        }

        private synchronized void receive(PermitGrant grant, long nowNanos) {
            if (allowance != null) {
                allowance.receive(grant, nowNanos);
            }
        }
    }
}
