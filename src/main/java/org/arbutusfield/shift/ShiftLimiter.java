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
 * The one gate through which a host moves requests between regions, whichever lever caused the move.
 *
 * <p>A request is moved when it runs in another region than its caller's home region, be it that this host forwards it
 * or that a look-up sent the caller here. Without a movement rule nothing passes; a rule without a cap is not limited.
 * Thread-safe: each pair of regions of a service has its own lock.
 */
public final class ShiftLimiter {
    private final CapAllowance.Incarnation incarnation;
    private final PauseDetector pause;
    private volatile Gates gates = new Gates(Map.of(), Map.of());

    private ShiftLimiter(CapAllowance.Incarnation incarnation) {
        this.incarnation = incarnation;
        this.pause = PauseDetector.start(incarnation.startedNanos());
    }

    /** A guard that lets nothing pass until a configuration is applied. */
    public static ShiftLimiter start(CapAllowance.Incarnation incarnation) {
        return new ShiftLimiter(incarnation);
    }

    /** Tells that the process runs; call at least every {@link PauseDetector#LIMIT} / 4. */
    public void tick(long nowNanos) {
        pause.tick(nowNanos);
    }

    /**
     * Puts a configuration in force at once. Call it also with an unchanged configuration after a pause, once a peer or
     * the store has confirmed that it is current. Calls of this method must not overlap.
     */
    public void apply(Configuration configuration, long nowNanos) {
        Map<String, ShiftCap> caps = new TreeMap<>();
        configuration.items(ShiftCap.class).forEach(cap -> caps.put(cap.key(), cap));
        Map<String, MoveRule> rules = new TreeMap<>();
        configuration.items(MoveRule.class).forEach(rule -> rules.put(rule.key(), rule));
        Map<String, Gate> byPair = new HashMap<>();
        Map<String, List<Gate>> byHome = new HashMap<>();
        Set<String> keys = new TreeSet<>(caps.keySet());
        keys.addAll(rules.keySet());
        for (String key : keys) {
            Gate gate = gates.byPair().getOrDefault(key, new Gate());
            Optional<CapShares> terms = Optional.ofNullable(caps.get(key)).map(cap -> CapShares.of(cap, configuration));
            gate.apply(rules.containsKey(key), terms, incarnation, nowNanos);
            byPair.put(key, gate);
            byHome.computeIfAbsent(key.substring(0, key.indexOf('>')), home -> new ArrayList<>())
                    .add(gate);
        }
        gates = new Gates(byPair, byHome);
        pause.confirm(nowNanos);
    }

    /** Counts a request of a home region that this host has to place, for all regions it could be moved to. */
    public void countSeen(String service, String home, long nowNanos) {
        for (Gate gate : gates.byHome().getOrDefault(service + "/" + home, List.of())) {
            gate.countSeen(nowNanos);
        }
    }

    /**
     * Takes the permission to run one request in another region.
     *
     * @return the permit, or {@code CAP_REACHED}, also when no rule allows the move
     */
    public Either<Failure, CapAllowance.Permit> take(String service, String from, String to, long nowNanos) {
        String key = key(service, from, to);
        if (!pause.runningSinceConfirmation(nowNanos)) {
            return Either.left(Failure.of(ErrorCode.CAP_REACHED, key, "paused; configuration not confirmed"));
        }
        Gate gate = gates.byPair().get(key);
        return gate == null ? Gate.closed(key) : gate.take(key, nowNanos);
    }

    /** Gives back the permit of a request that the other region refused and did not run. */
    public void refund(String service, String from, String to, CapAllowance.Permit permit, long nowNanos) {
        Gate gate = gates.byPair().get(key(service, from, to));
        if (gate != null) {
            gate.refund(permit, nowNanos);
        }
    }

    /** The question to send to the pair's lender now, if permits are short or grants are to be given back. */
    public Optional<PermitLender.Request> permitRequest(
            String service, String from, String to, String host, long nowNanos) {
        return Optional.ofNullable(gates.byPair().get(key(service, from, to)))
                .flatMap(gate -> gate.permitRequest(host, nowNanos));
    }

    /** Takes in the lender's answer. */
    public void receive(String service, String from, String to, PermitGrant grant, long nowNanos) {
        Gate gate = gates.byPair().get(key(service, from, to));
        if (gate != null) {
            gate.receive(grant, nowNanos);
        }
    }

    private static String key(String service, String from, String to) {
        return service + "/" + from + ">" + to;
    }

    /** The gates of one configuration, by pair and by home region. */
    private record Gates(Map<String, Gate> byPair, Map<String, List<Gate>> byHome) {}

    /** One pair of regions of one service under its lock; without an allowance it is not limited. */
    private static final class Gate {
        private boolean open;
        private CapAllowance allowance;

        private static Either<Failure, CapAllowance.Permit> closed(String key) {
            return Either.left(Failure.of(ErrorCode.CAP_REACHED, key, "no movement rule"));
        }

        private synchronized void apply(
                boolean ruled, Optional<CapShares> terms, CapAllowance.Incarnation incarnation, long nowNanos) {
            open = ruled;
            if (terms.isEmpty()) {
                allowance = null;
            } else if (allowance == null) {
                allowance = CapAllowance.start(terms.get(), incarnation, nowNanos);
            } else {
                allowance.apply(terms.get(), nowNanos);
            }
        }

        private synchronized void countSeen(long nowNanos) {
            if (allowance != null) {
                allowance.countSeen(nowNanos);
            }
        }

        private synchronized Either<Failure, CapAllowance.Permit> take(String key, long nowNanos) {
            if (!open) {
                return closed(key);
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
