package org.arbutusfield.shift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when requests leave their home region, what fraction of them, and when they return.
 *
 * <p><b>Problem.</b> The figures of the home region are exact, those of other regions are delayed. All hosts see the
 * same idle region at once; a rule that compares two figures for each request moves all requests there and then all of
 * them back.
 *
 * <p><b>Idea.</b> Each region has one cost in milliseconds, derived from one objective:
 *
 * <pre>cost = latencyWeight x (2 x one-way delay + wait) + headroomWeight x service time x load squared</pre>
 *
 * <p>A controller changes the spilled fraction in steps while the costs differ by more than a dead band, and holds it
 * within the band. Steps up grow with the ratio of the costs; steps down are small. If the home region cannot take
 * requests, they leave it at once. The receiving region decides last ({@link CrossRegionAdmission}): its refusal costs
 * one round trip, keeps the host from trying it again for a moment, and the request goes on to the next region of the
 * order.
 *
 * <p><b>Invariants.</b> Regions that are drained, have no permit or have just refused a request are not in the order;
 * the home region is always in it unless it is drained. The older a figure, the closer the region's load is assumed to
 * be to full. The fraction towards a region never exceeds what its caches and the caps allow, and all fractions add up
 * to at most 1.
 *
 * <p><b>Example.</b> Service time 30 ms. With weights 1 and 3, a link of 12 ms and the other region half loaded, that
 * region costs 24 + 22.5 = 46.5; home costs 90 x load squared and therefore spills from a load of about 0.8. With
 * weights 3 and 1 and a link of 35 ms, the other region costs 210 + 7.5, and home spills once its wait exceeds about 70
 * ms.
 */
public final class SpillPolicy {
    /** Period at which {@link #observe} must be called. */
    public static final Duration STEP_PERIOD = Duration.ofMillis(100);

    private static final double DEAD_BAND = 0.2;
    private static final double GROW_STEP = 0.05;
    private static final double MAX_GROW_STEPS = 10;
    private static final double SHRINK_STEP = 0.02;
    private static final double ASSUMED_STALE_LOAD = 1.5;
    private static final double GOLDEN_RATIO = 0.6180339887498949;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double STALE_MILLIS = 4_000;

    private SpillPolicy() {}

    /**
     * Returns the regions in the order in which a request tries them; empty if none may take it.
     *
     * @param view what the host knows
     * @param state fractions and refusals
     * @param request the request
     * @param nowNanos monotonic time
     */
    public static List<String> order(SpillView view, SpillState state, Request request, long nowNanos) {
        List<SpillView.Option> others = usable(view, state, nowNanos);
        List<String> order = new ArrayList<>(others.size() + 1);
        boolean homeUsable = homeCanFinish(view.home(), request, nowNanos);
        double draw = request.sequence() * GOLDEN_RATIO;
        draw -= Math.floor(draw);
        for (SpillView.Option option : others) {
            double fraction = homeUsable ? state.fraction(option.region()) : 1;
            if (order.isEmpty() && draw < fraction) {
                order.add(option.region());
            }
            draw -= fraction;
        }
        List<SpillView.Option> rest = new ArrayList<>(others);
        if (!view.home().drained()) {
            rest.add(view.home());
        }
        if (order.isEmpty() && homeUsable) {
            order.add(view.home().region());
        }
        for (SpillView.Option option : byCost(view, rest, nowNanos)) {
            if (!order.contains(option.region())) {
                order.add(option.region());
            }
        }
        return order;
    }

    /**
     * A request to be placed.
     *
     * @param sequence number of the request on this host; spreads requests evenly over the fractions
     * @param deadlineMillis time left until its deadline, in milliseconds
     */
    public record Request(long sequence, double deadlineMillis) {}

    /** Returns the state after one step of the controller; call it every {@link #STEP_PERIOD}. */
    public static SpillState observe(SpillView view, SpillState state, long nowNanos) {
        double homeCost = cost(view, view.home(), nowNanos);
        Map<String, Double> fractions = new TreeMap<>();
        double left = 1;
        for (SpillView.Option option : byCost(view, view.others(), nowNanos)) {
            double next = step(state.fraction(option.region()), homeCost, cost(view, option, nowNanos));
            double bounded = option.drained() ? 0 : Math.min(left, Math.min(next, option.shareLimit()));
            left -= bounded;
            fractions.put(option.region(), bounded);
        }
        return state.withFractions(fractions);
    }

    /** Cost of a region for one more request, in weighted milliseconds; infinite if it has no slots. */
    public static double cost(SpillView view, SpillView.Option option, long nowNanos) {
        double load = ageAdjustedLoad(option, nowNanos);
        if (Double.isInfinite(load)) {
            return load;
        }
        double service = option.headroom()
                .map(RegionHeadroom::serviceMillis)
                .orElse(view.home()
                        .headroom()
                        .map(RegionHeadroom::serviceMillis)
                        .orElse(0.0));
        double wait = option.headroom().map(RegionHeadroom::expectedWaitMillis).orElse(service);
        double latency = 2 * option.oneWayMillis() + wait;
        return view.latencyWeight() * latency + view.headroomWeight() * service * load * load;
    }

    private static double step(double fraction, double homeCost, double cost) {
        if (Double.isInfinite(cost)) {
            return 0;
        }
        if (Double.isInfinite(homeCost)) {
            return 1;
        }
        if (homeCost > cost * (1 + DEAD_BAND)) {
            return Math.min(1, fraction + GROW_STEP * Math.min(MAX_GROW_STEPS, homeCost / cost));
        }
        return homeCost < cost * (1 - DEAD_BAND) ? Math.max(0, fraction - SHRINK_STEP) : fraction;
    }

    /** The reason why the request would leave home now, as needed by the receiving region. */
    public static CrossRegionAdmission.Reason reason(SpillView view, Request request, long nowNanos) {
        return homeCanFinish(view.home(), request, nowNanos)
                ? CrossRegionAdmission.Reason.BALANCE
                : CrossRegionAdmission.Reason.FAILOVER;
    }

    private static boolean homeCanFinish(SpillView.Option home, Request request, long nowNanos) {
        if (home.drained() || Double.isInfinite(ageAdjustedLoad(home, nowNanos))) {
            return false;
        }
        return home.headroom()
                .map(figures -> figures.expectedWaitMillis() + figures.serviceMillis() <= request.deadlineMillis())
                .orElse(true);
    }

    private static List<SpillView.Option> usable(SpillView view, SpillState state, long nowNanos) {
        List<SpillView.Option> allowed = view.others().stream()
                .filter(option -> !option.drained() && option.permitted() && !state.refused(option.region(), nowNanos))
                .filter(option -> !Double.isInfinite(ageAdjustedLoad(option, nowNanos)))
                .toList();
        return byCost(view, allowed, nowNanos);
    }

    private static List<SpillView.Option> byCost(SpillView view, List<SpillView.Option> options, long nowNanos) {
        return options.stream()
                .sorted(Comparator.comparingDouble((SpillView.Option option) -> cost(view, option, nowNanos))
                        .thenComparingInt(SpillView.Option::preference)
                        .thenComparing(SpillView.Option::region))
                .toList();
    }

    /** The last known load, moved towards the load of an overloaded region as the figures age. */
    private static double ageAdjustedLoad(SpillView.Option option, long nowNanos) {
        if (option.headroom().isEmpty()) {
            return ASSUMED_STALE_LOAD;
        }
        RegionHeadroom figures = option.headroom().get();
        double ageMillis = Math.max(0, (nowNanos - figures.measuredNanos()) / NANOS_PER_MILLI);
        double staleness = Math.min(1, ageMillis / STALE_MILLIS);
        double load = figures.load();
        return load >= ASSUMED_STALE_LOAD ? load : load + staleness * (ASSUMED_STALE_LOAD - load);
    }
}
