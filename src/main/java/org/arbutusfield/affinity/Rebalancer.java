package org.arbutusfield.affinity;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses the objects of a plan that change their home.
 *
 * <p>Problem: a moved object costs one long request. Loads are known from noisy reports, and demand rises and falls, so
 * that the busiest upstream of a second is often busiest by chance. Upstreams that are added have to get their share
 * all the same, and an upstream near saturation has to be relieved at once.
 *
 * <p>Idea: three kinds of moves. Relief uses the load of the latest periods: an upstream above {@code SATURATION} gives
 * one object a period away. Balance uses the average load: it starts when an upstream differs from the mean by more
 * than a margin and {@code SIGNIFICANCE} standard errors, and then goes on until the upstream is close to the mean;
 * each move has to narrow the difference between the two upstreams by more than its own size. Objects of removed
 * upstreams are placed together, heaviest first, each where the utilization is least afterwards, so that no other
 * object has to move.
 *
 * <p>Invariants: at the target of a move for relief or balance, the objects that have had no request there yet stay
 * below {@code MAX_COLD_RATE} requests a second in all. An object is moved for balance at most once in
 * {@code BALANCE_COOLDOWN}. One period passes over the upstreams once, and only over the objects of upstreams that take
 * part.
 *
 * <p>Example: four upstreams at 0.55 of their slots, one is added. It is empty and therefore starts the balance: the
 * busiest upstream that has a fitting object gives one, until the fifth is at nearly 0.44 like the others.
 *
 * <p>Not thread-safe.
 */
final class Rebalancer {
    /** Utilization in the latest periods above which an upstream counts as saturated. */
    private static final double SATURATION = 0.9;
    /** Smallest reduction of the higher of two utilizations that justifies a move for relief. */
    private static final double MIN_RELIEF = 0.12;
    /** Balance starts below this fraction of the mean utilization, or as much above it, and ends near the mean. */
    private static final double START_MARGIN = 0.22;

    /** With few objects an upstream has to be off by most of an object; one more move would only change the sign. */
    private static final double START_OBJECTS = 0.8;

    private static final double END_MARGIN = 0.05;
    /** Smallest gain of a move for balance, as a fraction of the mean utilization. */
    private static final double MIN_GAIN = 0.1;

    private static final double SIGNIFICANCE = 3;
    /** Below this utilization an upstream is not relieved for the sake of balance. */
    private static final double MIN_BALANCED = 0.35;
    /** A cold upstream accepts 4.9 to 5.9 requests per second. */
    private static final double MAX_COLD_RATE = 4;
    /** Work at the home takes 0.3 of the time elsewhere. */
    private static final double WARM_TO_COLD = 0.3;

    private static final Duration RELIEF_COOLDOWN = Duration.ofSeconds(4);
    /** Longer than a demand wave of 36 s, so that a wave can't move an object back and forth. */
    private static final Duration BALANCE_COOLDOWN = Duration.ofSeconds(45);
    /** Number of upstreams that are tried as the other side of a move. */
    private static final int PARTNERS = 8;

    private final UpstreamLoads loads;
    private final Mover mover;
    private final Set<String> unbalanced = new HashSet<>();

    /** Assigns a new home to an object. */
    interface Mover {
        void move(PlannedObject object, String target, String reason);
    }

    Rebalancer(UpstreamLoads loads, Mover mover) {
        this.loads = loads;
        this.mover = mover;
    }

    /** Returns the upstream with the least utilization after it gets an object, of those that may serve it. */
    Optional<Candidate> leastUtilizedWith(PlannedObject object, Collection<Candidate> upstreams) {
        Candidate best = null;
        double least = Double.POSITIVE_INFINITY;
        for (Candidate upstream : upstreams) {
            double after = loads.utilization(upstream) + object.load().slow() / upstream.slots();
            if (after < least && object.eligible(upstream.name())) {
                best = upstream;
                least = after;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Gives the objects of upstreams that are no candidates any more to other upstreams. */
    void replaceRemoved(Collection<Candidate> upstreams) {
        Set<String> removed = new HashSet<>(loads.upstreams());
        upstreams.forEach(upstream -> removed.remove(upstream.name()));
        if (removed.isEmpty() || upstreams.isEmpty()) {
            return;
        }
        removed.stream()
                .flatMap(name -> loads.objectsOf(name).stream())
                .sorted(Comparator.<PlannedObject>comparingDouble(
                                object -> -object.load().slow())
                        .thenComparingLong(PlannedObject::key))
                .toList()
                .forEach(object -> leastUtilizedWith(object, upstreams)
                        .ifPresent(target -> mover.move(object, target.name(), "placed")));
    }

    /** Moves objects away from upstreams that are saturated. */
    void relieve(List<Candidate> upstreams, long nowNanos) {
        List<Candidate> saturated = upstreams.stream()
                .filter(upstream -> loads.currentUtilization(upstream) >= SATURATION)
                .sorted(Comparator.<Candidate>comparingDouble(loads::currentUtilization)
                        .reversed())
                .toList();
        if (saturated.isEmpty()) {
            return;
        }
        NavigableSet<Ranked> order = new TreeSet<>();
        upstreams.forEach(upstream -> order.add(new Ranked(upstream, loads.currentUtilization(upstream))));
        for (Candidate source : saturated) {
            Move best = bestRelief(source, order, nowNanos);
            if (best != null) {
                order.remove(best.source);
                order.remove(best.target);
                mover.move(best.object, best.target.upstream.name(), "relieved");
                order.add(new Ranked(source, loads.currentUtilization(source)));
                order.add(new Ranked(best.target.upstream, loads.currentUtilization(best.target.upstream)));
            }
        }
    }

    private Move bestRelief(Candidate source, NavigableSet<Ranked> order, long nowNanos) {
        Move best = null;
        double before = loads.currentUtilization(source);
        double bestPeak = before - MIN_RELIEF;
        for (PlannedObject object : loads.objectsOf(source.name())) {
            if (!object.settled(RELIEF_COOLDOWN, nowNanos)) {
                continue;
            }
            Ranked target = firstTarget(object, order, source);
            if (target == null) {
                continue;
            }
            double load = object.load().fast();
            double peak = Math.max(before - load / source.slots(), target.utilization + load / target.upstream.slots());
            if (peak < bestPeak) {
                bestPeak = peak;
                best = new Move(object, new Ranked(source, before), target, 0);
            }
        }
        return best;
    }

    private Ranked firstTarget(PlannedObject object, NavigableSet<Ranked> order, Candidate source) {
        for (Ranked ranked : order) {
            if (object.eligible(ranked.upstream.name())
                    && !ranked.upstream.name().equals(source.name())
                    && acceptsCold(object, ranked.upstream)) {
                return ranked;
            }
        }
        return null;
    }

    private boolean acceptsCold(PlannedObject object, Candidate target) {
        return loads.coldRate(target.name()) + object.firstRequestRate() <= MAX_COLD_RATE;
    }

    /** Returns true when the target can do the additional work of cold objects without becoming saturated. */
    private boolean hasRoom(PlannedObject object, Candidate target) {
        double extra = loads.coldLoad(target.name()) * (1 / WARM_TO_COLD - 1)
                + object.load().slow() / WARM_TO_COLD;
        return loads.coldRate(target.name()) == 0
                || loads.currentUtilization(target) + extra / target.slots() <= SATURATION;
    }

    /** Moves objects between upstreams whose average utilization differs significantly from the mean. */
    void balance(List<Candidate> upstreams, long nowNanos) {
        double mean = loads.meanUtilization(upstreams);
        NavigableSet<Ranked> order = new TreeSet<>();
        upstreams.forEach(upstream -> order.add(new Ranked(upstream, loads.utilization(upstream))));
        markUnbalanced(upstreams, mean);
        for (Candidate upstream : upstreams) {
            if (unbalanced.contains(upstream.name())) {
                balanceOne(upstream, order, mean, nowNanos);
            }
        }
    }

    private void markUnbalanced(List<Candidate> upstreams, double mean) {
        Set<String> names = new HashSet<>();
        double objectLoad = loads.meanObjectLoad();
        for (Candidate upstream : upstreams) {
            names.add(upstream.name());
            double difference = Math.abs(loads.utilization(upstream) - mean);
            double margin = Math.max(START_MARGIN * mean, START_OBJECTS * objectLoad / upstream.slots());
            double limit = margin + SIGNIFICANCE * loads.error(upstream);
            if (difference > limit || loads.objects(upstream.name()) == 0) {
                unbalanced.add(upstream.name());
            }
        }
        unbalanced.retainAll(names);
    }

    private void balanceOne(Candidate upstream, NavigableSet<Ranked> order, double mean, long nowNanos) {
        boolean above = loads.utilization(upstream) > mean;
        while (Math.abs(loads.utilization(upstream) - mean) > END_MARGIN * mean
                && above == loads.utilization(upstream) > mean) {
            Move best =
                    above ? bestAway(upstream, order, mean, nowNanos) : bestTowards(upstream, order, mean, nowNanos);
            if (best == null) {
                boolean waiting = !above && loads.coldRate(upstream.name()) > 0;
                if (!waiting) {
                    unbalanced.remove(upstream.name());
                }
                return;
            }
            apply(best, order);
        }
        unbalanced.remove(upstream.name());
    }

    private void apply(Move move, NavigableSet<Ranked> order) {
        order.remove(move.source);
        order.remove(move.target);
        mover.move(move.object, move.target.upstream.name(), "balanced");
        order.add(new Ranked(move.source.upstream, loads.utilization(move.source.upstream)));
        order.add(new Ranked(move.target.upstream, loads.utilization(move.target.upstream)));
    }

    private Move bestAway(Candidate source, NavigableSet<Ranked> order, double mean, long nowNanos) {
        Ranked from = new Ranked(source, loads.utilization(source));
        if (from.utilization < MIN_BALANCED) {
            return null;
        }
        Move best = null;
        int partners = 0;
        for (Ranked target : order) {
            if (partners++ == PARTNERS || target.utilization >= from.utilization) {
                return best;
            }
            best = better(best, bestMove(from, target, mean, nowNanos));
        }
        return best;
    }

    private Move bestTowards(Candidate target, NavigableSet<Ranked> order, double mean, long nowNanos) {
        Ranked to = new Ranked(target, loads.utilization(target));
        Move best = null;
        int partners = 0;
        for (Ranked source : order.descendingSet()) {
            boolean enough = partners >= PARTNERS && best != null;
            if (enough || source.utilization - to.utilization < MIN_GAIN * mean) {
                return best;
            }
            partners++;
            best = better(best, bestMove(source, to, mean, nowNanos));
        }
        return best;
    }

    private static Move better(Move one, Move other) {
        return one == null || (other != null && other.gain > one.gain) ? other : one;
    }

    /** Returns the object whose move from one upstream to another reduces the squared differences most. */
    private Move bestMove(Ranked source, Ranked target, double mean, long nowNanos) {
        double gap = source.utilization - target.utilization;
        boolean empty = loads.objects(target.upstream.name()) == 0;
        double error = empty ? 0 : Math.hypot(loads.error(source.upstream), loads.error(target.upstream));
        Move best = null;
        for (PlannedObject object : loads.objectsOf(source.upstream.name())) {
            double load = object.load().slow();
            double perLoad = gap - load / 2 * (1.0 / source.upstream.slots() + 1.0 / target.upstream.slots());
            boolean pays = perLoad >= MIN_GAIN * mean + error || (empty && loads.objects(object.upstream()) > 1);
            boolean may = object.neverMoved()
                    ? object.settled(RELIEF_COOLDOWN, nowNanos)
                    : object.settled(BALANCE_COOLDOWN, nowNanos);
            if (pays
                    && may
                    && (best == null || perLoad * load > best.gain)
                    && object.eligible(target.upstream.name())
                    && acceptsCold(object, target.upstream)
                    && hasRoom(object, target.upstream)) {
                best = new Move(object, source, target, perLoad * load);
            }
        }
        return best;
    }

    /** An upstream with its utilization at the time it was ranked. */
    private record Ranked(Candidate upstream, double utilization) implements Comparable<Ranked> {
        @Override
        public int compareTo(Ranked other) {
            int byUtilization = Double.compare(utilization, other.utilization);
            return byUtilization != 0 ? byUtilization : upstream.name().compareTo(other.upstream.name());
        }
    }

    /** A possible move; the gain is the reduction of the squared differences, up to a factor. */
    private record Move(PlannedObject object, Ranked source, Ranked target, double gain) {}
}
