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
 * One seeded run in virtual time of three regions with a queue each, under one way to choose a region.
 *
 * <p>From a quarter to three quarters of the run, region 0 has the scenario's fault. Region figures reach the others
 * every 100 ms plus the link's delay, or a second late where the method says so.
 */
final class SpillRun {
    private static final int REGIONS = 3;
    private static final Duration PERIOD = Duration.ofMillis(100);
    private static final double COLD_PENALTY = 2;
    private static final Duration CAP_INTERVAL = Duration.ofSeconds(10);
    private static final Duration FLAP_PERIOD = Duration.ofSeconds(1);
    private static final int LAGS = 10;

    private final VirtualTimer timer = VirtualTimer.create();
    private final Random random;
    private final Setup setup;
    private final Method method;
    private final Region[] regions = new Region[REGIONS];
    private final SpillState[] states = new SpillState[REGIONS];
    private final ShareLimiter[][] meters = new ShareLimiter[REGIONS][REGIONS];
    private final List<RegionHeadroom[]> broadcasts = new ArrayList<>();
    private final Histogram latencyMicros = new Histogram(60_000_000L, 3);
    private final int[] destinations = new int[REGIONS];
    private long sequence;
    private long arrived;
    private long refused;
    private int dominant;
    private int flaps;
    private double worstLoad;
    private long movedOfZero;
    private long arrivedAtZero;
    private double worstMovedShare;

    /** How a region is chosen. */
    enum Method {
        /** Fractions, admission by the receiver, ramp and cap. */
        OWN,
        /** Always home. */
        NO_SPILL,
        /** To the least loaded region by figures a second old while home looks full; the receiver queues all. */
        LAGGING_FIGURES,
        /** Always to the least loaded region by figures 100 ms old. */
        LEAST_LOADED
    }

    /**
     * Sizes and fault of a run.
     *
     * @param slots slots of each region
     * @param serviceMillis mean service time, in milliseconds
     * @param oneWayMillis link delay, in milliseconds
     * @param latencyWeight weight of latency
     * @param headroomWeight weight of headroom
     * @param deadlineMillis deadline of a request, in milliseconds
     * @param regionFails whether region 0 fails; otherwise it gets 150 % load
     * @param maxShare cap on the share of region 0's requests moved to one region
     * @param rampSeconds cold-cache ramp, in seconds
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
    record Result(double p50, double p99, double refused, double worstLoad, double flapsPerMinute, double movedShare) {}

    private SpillRun(long seed, Setup setup, Method method) {
        this.random = new Random(seed);
        this.setup = setup;
        this.method = method;
        for (int i = 0; i < REGIONS; i++) {
            regions[i] = new Region(i);
            states[i] = SpillState.initial();
            for (int j = 0; j < REGIONS; j++) {
                meters[i][j] = ShareLimiter.of(setup.maxShare(), CAP_INTERVAL.toNanos(), 0);
            }
        }
    }

    static Result run(long seed, Setup setup, Method method, int seconds) {
        SpillRun run = new SpillRun(seed, setup, method);
        for (int home = 0; home < REGIONS; home++) {
            run.arrive(home, seconds);
        }
        run.timer.every(PERIOD, run::period);
        run.timer.after(Duration.ofSeconds(seconds / 4), () -> run.fault(true));
        run.timer.after(Duration.ofSeconds(3L * seconds / 4), () -> run.fault(false));
        run.timer.advance(Duration.ofSeconds(seconds));
        return new Result(
                run.latencyMicros.getValueAtPercentile(50) / 1e3,
                run.latencyMicros.getValueAtPercentile(99) / 1e3,
                (double) run.refused / run.arrived,
                run.worstLoad,
                run.flaps * 60.0 / seconds,
                run.worstMovedShare);
    }

    private void fault(boolean begins) {
        if (setup.regionFails()) {
            regions[0].slots = begins ? 0 : setup.slots().get(0);
            refused += begins ? regions[0].clear() : 0;
        } else {
            regions[0].demand = begins ? 1.5 : 0.5;
        }
    }

    private void arrive(int home, int seconds) {
        double perMilli = regions[home].demand * setup.slots().get(home) / setup.serviceMillis();
        double waitMillis = -Math.log(1 - random.nextDouble()) / perMilli;
        timer.after(Duration.ofNanos((long) (waitMillis * 1e6)), () -> {
            place(home);
            arrive(home, seconds);
        });
    }

    private void place(int home) {
        arrived++;
        arrivedAtZero += home == 0 ? 1 : 0;
        for (int to = 0; to < REGIONS; to++) {
            meters[home][to].countSeen(timer.nowNanos());
        }
        SpillPolicy.Request request = new SpillPolicy.Request(sequence++, setup.deadlineMillis());
        Job job = new Job(home, timer.nowNanos(), SpillPolicy.reason(view(home), request, timer.nowNanos()));
        attempt(job, order(home, request), 0);
    }

    /** Tries the regions one after another; each refusal from afar costs a round trip. */
    private void attempt(Job job, List<Integer> order, int next) {
        if (next >= order.size()) {
            refused++;
            return;
        }
        int to = order.get(next);
        boolean foreign = to != job.home;
        double delay = foreign ? setup.oneWayMillis() : 0;
        if (foreign && method == Method.OWN && !meters[job.home][to].permits(timer.nowNanos())) {
            attempt(job, order, next + 1);
            return;
        }
        if (foreign && method == Method.OWN) {
            meters[job.home][to].countMoved(timer.nowNanos());
        }
        long usedNanos = timer.nowNanos();
        timer.after(Duration.ofNanos((long) (delay * 1e6)), () -> {
            if (regions[to].offer(job, foreign)) {
                count(job.home, to);
                return;
            }
            timer.after(Duration.ofNanos((long) (delay * 1e6)), () -> {
                if (foreign && method == Method.OWN) {
                    meters[job.home][to].refund(usedNanos, timer.nowNanos());
                    states[job.home] = states[job.home].withRefusal("r" + to, timer.nowNanos());
                }
                attempt(job, order, next + 1);
            });
        });
    }

    private void count(int home, int to) {
        if (home == 0) {
            destinations[to]++;
            movedOfZero += to == 0 ? 0 : 1;
        }
    }

    private List<Integer> order(int home, SpillPolicy.Request request) {
        return switch (method) {
            case OWN -> own(home, request);
            case NO_SPILL -> List.of(home);
            case LAGGING_FIGURES -> List.of(lagging(home));
            case LEAST_LOADED -> List.of(leastLoaded(home, 1));
        };
    }

    private List<Integer> own(int home, SpillPolicy.Request request) {
        return SpillPolicy.order(view(home), states[home], request, timer.nowNanos()).stream()
                .map(name -> name.charAt(1) - '0')
                .toList();
    }

    private int lagging(int home) {
        RegionHeadroom[] seen = seen(LAGS);
        return seen == null || seen[home].load() < 1 ? home : leastLoaded(home, LAGS);
    }

    private int leastLoaded(int home, int lag) {
        RegionHeadroom[] seen = seen(lag);
        int best = home;
        for (int i = 0; seen != null && i < REGIONS; i++) {
            best = seen[i].load() < seen[best].load() ? i : best;
        }
        return best;
    }

    private RegionHeadroom[] seen(int lag) {
        return broadcasts.size() < lag ? null : broadcasts.get(broadcasts.size() - lag);
    }

    private SpillView view(int home) {
        List<SpillView.Option> others = new ArrayList<>();
        RegionHeadroom[] seen = seen(1);
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

    private void period() {
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
        if (timer.nowNanos() % FLAP_PERIOD.toNanos() == 0) {
            countFlap();
        }
    }

    private void countFlap() {
        int best = dominant;
        for (int i = 0; i < REGIONS; i++) {
            best = destinations[i] > destinations[best] ? i : best;
            destinations[i] = 0;
        }
        flaps += best == dominant ? 0 : 1;
        dominant = best;
        for (int i = 0; i < REGIONS; i++) {
            destinations[i] = 0;
        }
        if (timer.nowNanos() % CAP_INTERVAL.toNanos() == 0 && arrivedAtZero > 0) {
            worstMovedShare = Math.max(worstMovedShare, (double) movedOfZero / arrivedAtZero);
            movedOfZero = 0;
            arrivedAtZero = 0;
        }
    }

    /** A request and when it arrived. */
    private record Job(int home, long bornNanos, CrossRegionAdmission.Reason reason) {}

    /** One region: an ideal queue that refuses what cannot finish in time. */
    private final class Region {
        private final int index;
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private final ColdRamp[] ramps = new ColdRamp[REGIONS];
        private int slots;
        private int busy;
        private int foreign;
        private int epoch;
        private double demand = 0.5;

        private Region(int index) {
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

        private boolean offer(Job job, boolean fromAfar) {
            RegionHeadroom figures = figures();
            double ramp = ramps[job.home].share(timer.nowNanos());
            if (slots == 0
                    || (fromAfar
                            && method == Method.OWN
                            && !CrossRegionAdmission.admits(figures, job.reason, foreign, ramp))) {
                return false;
            }
            double spent = (timer.nowNanos() - job.bornNanos()) / 1e6;
            double back = fromAfar ? setup.oneWayMillis() : 0;
            if (spent + figures.expectedWaitMillis() + setup.serviceMillis() + back > setup.deadlineMillis()) {
                return false;
            }
            foreign += fromAfar ? 1 : 0;
            queue.add(job);
            start();
            return true;
        }

        private int clear() {
            int lost = queue.size() + busy;
            queue.clear();
            busy = 0;
            foreign = 0;
            epoch++;
            return lost;
        }

        private void start() {
            while (busy < slots && !queue.isEmpty()) {
                Job job = queue.remove();
                busy++;
                boolean fromAfar = job.home != index;
                double cold = 1;
                if (fromAfar) {
                    cold += (COLD_PENALTY - 1) * (1 - ramps[job.home].warmth());
                    ramps[job.home] = ramps[job.home].used(timer.nowNanos());
                }
                double service = -Math.log(1 - random.nextDouble()) * setup.serviceMillis() * cold;
                int startEpoch = epoch;
                timer.after(Duration.ofNanos((long) (service * 1e6)), () -> {
                    if (startEpoch == epoch) {
                        finish(job, fromAfar);
                    }
                });
            }
        }

        private void finish(Job job, boolean fromAfar) {
            busy--;
            foreign -= fromAfar ? 1 : 0;
            double back = fromAfar ? setup.oneWayMillis() : 0;
            double millis = (timer.nowNanos() - job.bornNanos()) / 1e6 + back;
            latencyMicros.recordValue(Math.min(59_000_000L, (long) (millis * 1e3)));
            start();
        }
    }
}
