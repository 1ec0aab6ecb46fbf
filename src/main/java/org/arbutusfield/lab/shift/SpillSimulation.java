package org.arbutusfield.lab.shift;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.arbutusfield.shift.ColdRamp;
import org.arbutusfield.shift.CrossRegionAdmission;
import org.arbutusfield.shift.RegionHeadroom;
import org.arbutusfield.shift.ShareLimiter;
import org.arbutusfield.shift.SpillPolicy;
import org.arbutusfield.shift.SpillState;
import org.arbutusfield.shift.SpillView;
import org.arbutusfield.timer.VirtualTimer;

/**
 * Seeded simulation, in virtual time, of three regions with a queue each, under one method of choosing a region.
 *
 * <p>From a quarter to three quarters of the run, region 0 has the fault of the setup. Load figures of a region reach
 * the others every 100 ms after the delay of the link, or a second late under {@link Method#LAGGING_FIGURES}.
 */
final class SpillSimulation {
    private static final int REGIONS = 3;
    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);
    private static final double COLD_SERVICE_FACTOR = 2;
    private static final Duration CAP_INTERVAL = Duration.ofSeconds(10);
    private static final Duration DIRECTION_PERIOD = Duration.ofSeconds(1);
    private static final int LONG_LAG_PERIODS = 10;

    private final VirtualTimer timer = VirtualTimer.create();
    private final Random random;
    private final Setup setup;
    private final Method method;
    private final SimulatedRegion[] regions = new SimulatedRegion[REGIONS];
    private final SpillState[] states = new SpillState[REGIONS];
    private final ShareLimiter[][] shareLimiters = new ShareLimiter[REGIONS][REGIONS];
    private final List<RegionHeadroom[]> broadcasts = new ArrayList<>();
    private final Histogram latencyMicros = new Histogram(60_000_000L, 3);
    private final int[] destinations = new int[REGIONS];
    private long sequence;
    private long arrived;
    private long refused;
    private int mainDestination;
    private int directionChanges;
    private double worstLoad;
    private long movedFromRegionZero;
    private long arrivedAtRegionZero;
    private double worstMovedShare;

    /** Method of choosing a region. */
    enum Method {
        /** The policy of the product: spill fractions, admission by the receiving region, cold-cache ramp and cap. */
        OWN,
        /** Always the home region. */
        NO_SPILL,
        /**
         * The least loaded region by figures one second old while the home region looks full; the receiver does not
         * limit requests from other regions.
         */
        LAGGING_FIGURES,
        /** Always the least loaded region by figures 100 ms old. */
        LEAST_LOADED
    }

    /**
     * Sizes and fault of a run.
     *
     * @param slots slots of each region
     * @param serviceMillis mean service time, in milliseconds
     * @param oneWayMillis one-way link delay, in milliseconds
     * @param latencyWeight weight of latency in the choice of a region
     * @param headroomWeight weight of headroom in the choice of a region
     * @param deadlineMillis deadline of a request, in milliseconds
     * @param regionFails whether region 0 fails; otherwise it gets 150 % load
     * @param maxShare cap on the share of requests that a region moves to any one other region
     * @param rampSeconds length of the cold-cache ramp, in seconds
     */
    record Setup(
            List<Integer> slots,
            double serviceMillis,
            double oneWayMillis,
            double latencyWeight,
            double headroomWeight,
            double deadlineMillis,
            boolean regionFails,
            double maxShare,
            int rampSeconds) {}

    /** Figures of one run; latencies in milliseconds, loads relative to slots. */
    record Result(
            double p50,
            double p99,
            double refused,
            double worstLoad,
            double directionChangesPerMinute,
            double movedShare) {}

    private SpillSimulation(long seed, Setup setup, Method method) {
        this.random = new Random(seed);
        this.setup = setup;
        this.method = method;
        for (int i = 0; i < REGIONS; i++) {
            regions[i] = new SimulatedRegion(i);
            states[i] = SpillState.initial();
            for (int j = 0; j < REGIONS; j++) {
                shareLimiters[i][j] = ShareLimiter.of(setup.maxShare(), CAP_INTERVAL.toNanos(), 0);
            }
        }
    }

    static Result run(long seed, Setup setup, Method method, int seconds) {
        SpillSimulation simulation = new SpillSimulation(seed, setup, method);
        for (int home = 0; home < REGIONS; home++) {
            simulation.scheduleArrivals(home, seconds);
        }
        simulation.timer.every(REPORT_PERIOD, simulation::onPeriod);
        simulation.timer.after(Duration.ofSeconds(seconds / 4), () -> simulation.setFault(true));
        simulation.timer.after(Duration.ofSeconds(3L * seconds / 4), () -> simulation.setFault(false));
        simulation.timer.advance(Duration.ofSeconds(seconds));
        return new Result(
                simulation.latencyMicros.getValueAtPercentile(50) / 1e3,
                simulation.latencyMicros.getValueAtPercentile(99) / 1e3,
                (double) simulation.refused / simulation.arrived,
                simulation.worstLoad,
                simulation.directionChanges * 60.0 / seconds,
                simulation.worstMovedShare);
    }

    private void setFault(boolean begins) {
        if (setup.regionFails()) {
            regions[0].slots = begins ? 0 : setup.slots().get(0);
            refused += begins ? regions[0].failAll() : 0;
        } else {
            regions[0].demand = begins ? 1.5 : 0.5;
        }
    }

    private void scheduleArrivals(int home, int seconds) {
        double perMilli = regions[home].demand * setup.slots().get(home) / setup.serviceMillis();
        double waitMillis = -Math.log(1 - random.nextDouble()) / perMilli;
        timer.after(Duration.ofNanos((long) (waitMillis * 1e6)), () -> {
            place(home);
            scheduleArrivals(home, seconds);
        });
    }

    private void place(int home) {
        arrived++;
        arrivedAtRegionZero += home == 0 ? 1 : 0;
        for (int to = 0; to < REGIONS; to++) {
            shareLimiters[home][to].countSeen(timer.nowNanos());
        }
        SpillPolicy.Request request = new SpillPolicy.Request(sequence++, setup.deadlineMillis());
        Job job = new Job(home, timer.nowNanos(), SpillPolicy.reason(view(home), request, timer.nowNanos()));
        attempt(job, order(home, request), 0);
    }

    /** Tries the regions in order; each refusal by another region costs a round trip. */
    private void attempt(Job job, List<Integer> order, int next) {
        if (next >= order.size()) {
            refused++;
            return;
        }
        int to = order.get(next);
        boolean crossRegion = to != job.home;
        double delay = crossRegion ? setup.oneWayMillis() : 0;
        if (crossRegion && method == Method.OWN && !shareLimiters[job.home][to].permits(timer.nowNanos())) {
            attempt(job, order, next + 1);
            return;
        }
        if (crossRegion && method == Method.OWN) {
            shareLimiters[job.home][to].countMoved(timer.nowNanos());
        }
        long usedNanos = timer.nowNanos();
        timer.after(Duration.ofNanos((long) (delay * 1e6)), () -> {
            if (regions[to].offer(job, crossRegion)) {
                recordDestination(job.home, to);
                return;
            }
            timer.after(Duration.ofNanos((long) (delay * 1e6)), () -> {
                if (crossRegion && method == Method.OWN) {
                    shareLimiters[job.home][to].refund(usedNanos, timer.nowNanos());
                    states[job.home] = states[job.home].withRefusal("r" + to, timer.nowNanos());
                }
                attempt(job, order, next + 1);
            });
        });
    }

    private void recordDestination(int home, int to) {
        if (home == 0) {
            destinations[to]++;
            movedFromRegionZero += to == 0 ? 0 : 1;
        }
    }

    private List<Integer> order(int home, SpillPolicy.Request request) {
        return switch (method) {
            case OWN -> spillOrder(home, request);
            case NO_SPILL -> List.of(home);
            case LAGGING_FIGURES -> List.of(laggingChoice(home));
            case LEAST_LOADED -> List.of(leastLoaded(home, 1));
        };
    }

    private List<Integer> spillOrder(int home, SpillPolicy.Request request) {
        return SpillPolicy.order(view(home), states[home], request, timer.nowNanos()).stream()
                .map(name -> name.charAt(1) - '0')
                .toList();
    }

    private int laggingChoice(int home) {
        RegionHeadroom[] seen = figuresSeen(LONG_LAG_PERIODS);
        return seen == null || seen[home].load() < 1 ? home : leastLoaded(home, LONG_LAG_PERIODS);
    }

    private int leastLoaded(int home, int lag) {
        RegionHeadroom[] seen = figuresSeen(lag);
        int best = home;
        for (int i = 0; seen != null && i < REGIONS; i++) {
            best = seen[i].load() < seen[best].load() ? i : best;
        }
        return best;
    }

    private RegionHeadroom[] figuresSeen(int lag) {
        return broadcasts.size() < lag ? null : broadcasts.get(broadcasts.size() - lag);
    }

    private SpillView view(int home) {
        List<SpillView.Option> others = new ArrayList<>();
        RegionHeadroom[] seen = figuresSeen(1);
        for (int i = 0; i < REGIONS; i++) {
            if (i != home) {
                Optional<RegionHeadroom> figures = seen == null ? Optional.empty() : Optional.of(seen[i]);
                double limit = Math.min(setup.maxShare(), regions[i].ramps[home].share(timer.nowNanos()));
                others.add(new SpillView.Option("r" + i, 1, setup.oneWayMillis(), figures, false, true, limit));
            }
        }
        SpillView.Option own =
                new SpillView.Option("r" + home, 0, 0, Optional.of(regions[home].figures()), false, true, 1);
        return new SpillView(setup.latencyWeight(), setup.headroomWeight(), own, others);
    }

    private void onPeriod() {
        RegionHeadroom[] figures = new RegionHeadroom[REGIONS];
        for (int i = 0; i < REGIONS; i++) {
            figures[i] = regions[i].figures();
            double load = figures[i].load();
            worstLoad = Double.isInfinite(load) ? worstLoad : Math.max(worstLoad, load);
        }
        timer.after(Duration.ofNanos((long) (setup.oneWayMillis() * 1e6)), () -> broadcasts.add(figures));
        for (int home = 0; home < REGIONS; home++) {
            states[home] = SpillPolicy.observe(view(home), states[home], timer.nowNanos());
        }
        if (timer.nowNanos() % DIRECTION_PERIOD.toNanos() == 0) {
            recordDirectionChange();
        }
    }

    private void recordDirectionChange() {
        int best = mainDestination;
        for (int i = 0; i < REGIONS; i++) {
            best = destinations[i] > destinations[best] ? i : best;
            destinations[i] = 0;
        }
        directionChanges += best == mainDestination ? 0 : 1;
        mainDestination = best;
        for (int i = 0; i < REGIONS; i++) {
            destinations[i] = 0;
        }
        if (timer.nowNanos() % CAP_INTERVAL.toNanos() == 0 && arrivedAtRegionZero > 0) {
            worstMovedShare = Math.max(worstMovedShare, (double) movedFromRegionZero / arrivedAtRegionZero);
            movedFromRegionZero = 0;
            arrivedAtRegionZero = 0;
        }
    }

    /** A request with its home region, arrival time and reason for a move. */
    private record Job(int home, long arrivalNanos, CrossRegionAdmission.Reason reason) {}

    /** One region: an ideal queue that refuses requests that cannot finish before their deadline. */
    private final class SimulatedRegion {
        private final int index;
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private final ColdRamp[] ramps = new ColdRamp[REGIONS];
        private int slots;
        private int busy;
        private int foreignCount;
        private int epoch;
        private double demand = 0.5;

        private SimulatedRegion(int index) {
            this.index = index;
            this.slots = setup.slots().get(index);
            for (int i = 0; i < REGIONS; i++) {
                ramps[i] = ColdRamp.cold(setup.rampSeconds(), 0);
            }
        }

        private RegionHeadroom figures() {
            double wait = busy < slots ? 0 : setup.serviceMillis() * (queue.size() + 1) / Math.max(1, slots);
            return new RegionHeadroom(
                    "r" + index, slots, busy, queue.size(), wait, setup.serviceMillis(), timer.nowNanos());
        }

        private boolean offer(Job job, boolean crossRegion) {
            RegionHeadroom figures = figures();
            double ramp = ramps[job.home].share(timer.nowNanos());
            if (slots == 0
                    || (crossRegion
                            && method == Method.OWN
                            && !CrossRegionAdmission.admits(figures, job.reason, foreignCount, ramp))) {
                return false;
            }
            double elapsedMillis = (timer.nowNanos() - job.arrivalNanos()) / 1e6;
            double returnMillis = crossRegion ? setup.oneWayMillis() : 0;
            if (elapsedMillis + figures.expectedWaitMillis() + setup.serviceMillis() + returnMillis
                    > setup.deadlineMillis()) {
                return false;
            }
            foreignCount += crossRegion ? 1 : 0;
            queue.add(job);
            start();
            return true;
        }

        private int failAll() {
            int lost = queue.size() + busy;
            queue.clear();
            busy = 0;
            foreignCount = 0;
            epoch++;
            return lost;
        }

        private void start() {
            while (busy < slots && !queue.isEmpty()) {
                Job job = queue.remove();
                busy++;
                boolean crossRegion = job.home != index;
                double cold = 1;
                if (crossRegion) {
                    cold += (COLD_SERVICE_FACTOR - 1) * (1 - ramps[job.home].warmth());
                    ramps[job.home] = ramps[job.home].used(timer.nowNanos());
                }
                double service = -Math.log(1 - random.nextDouble()) * setup.serviceMillis() * cold;
                int startEpoch = epoch;
                timer.after(Duration.ofNanos((long) (service * 1e6)), () -> {
                    if (startEpoch == epoch) {
                        finish(job, crossRegion);
                    }
                });
            }
        }

        private void finish(Job job, boolean crossRegion) {
            busy--;
            foreignCount -= crossRegion ? 1 : 0;
            double returnMillis = crossRegion ? setup.oneWayMillis() : 0;
            double millis = (timer.nowNanos() - job.arrivalNanos()) / 1e6 + returnMillis;
            latencyMicros.recordValue(Math.min(59_000_000L, (long) (millis * 1e3)));
            start();
        }
    }
}
