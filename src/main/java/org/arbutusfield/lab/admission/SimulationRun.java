package org.arbutusfield.lab.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.arbutusfield.admission.Priority;

/**
 * One simulation of a strategy under a load. With the same parameters, every strategy gets the same jobs at the same
 * times.
 *
 * @param workload servers, hosts and delays
 * @param regions number of regions that take part
 * @param load offered service time relative to the slot time available
 * @param seed seed of the random jobs
 * @param seconds measured time after the warm-up, in seconds of virtual time
 * @param fault fault that occurs after a third of the run
 */
record SimulationRun(Workload workload, int regions, double load, long seed, long seconds, Scenario.Fault fault) {
    private static final long WARM_UP_NANOS = Duration.ofSeconds(10).toNanos();

    /** Runs an instance of a strategy in each region. */
    RunStatistics runPerRegion(Function<SimulatedRegion, Strategy> strategy) {
        SimulationLoop loop = SimulationLoop.create();
        RunStatistics statistics = statistics();
        Scenario scenario = new Scenario(fault, WARM_UP_NANOS + endNanos() / 3);
        List<SimulatedRegion> simulatedRegions = new ArrayList<>();
        List<Strategy> strategies = new ArrayList<>();
        Set<String> dead = new HashSet<>();
        for (int region = 0; region < regions; region++) {
            simulatedRegions.add(SimulatedRegion.of(workload, region, loop, statistics, scenario));
            strategies.add(strategy.apply(simulatedRegions.get(region)));
        }
        loop.after(scenario.faultNanos(), () -> injectFault(simulatedRegions.get(0), strategies.get(0), dead));
        return run(loop, statistics, job -> {
            SimulatedRegion region = simulatedRegions.get(job.region());
            strategies.get(job.region()).arrive(job, liveHost(region, job, dead));
        });
    }

    /** Runs a lower bound: one queue per region, or one for all regions. */
    RunStatistics runIdealQueues(Function<SimulationLoop, Function<RunStatistics, List<IdealQueue>>> queues) {
        SimulationLoop loop = SimulationLoop.create();
        RunStatistics statistics = statistics();
        List<IdealQueue> idealQueues = queues.apply(loop).apply(statistics);
        return run(
                loop,
                statistics,
                job -> idealQueues.get(job.region() % idealQueues.size()).arrive(job));
    }

    /** End of the run, in nanoseconds of virtual time. */
    long endNanos() {
        return WARM_UP_NANOS + Duration.ofSeconds(seconds).toNanos();
    }

    private RunStatistics statistics() {
        return RunStatistics.of(workload.totalSlots(regions), WARM_UP_NANOS);
    }

    private RunStatistics run(SimulationLoop loop, RunStatistics statistics, Consumer<Job> onArrival) {
        loop.after(WARM_UP_NANOS, () -> statistics.startMeasuring(loop.nowNanos()));
        SplittableRandom random = new SplittableRandom(seed);
        scheduleArrivals(0, random, loop, job -> {
            statistics.recordArrival(job, loop.nowNanos());
            onArrival.accept(job);
        });
        loop.runUntil(endNanos());
        return statistics;
    }

    private void scheduleArrivals(long number, SplittableRandom random, SimulationLoop loop, Consumer<Job> onArrival) {
        double meanGap = workload.meanServiceNanos() / (load * workload.totalSlots(regions));
        loop.after((long) exponential(random, meanGap), () -> {
            Priority priority = workload.priority(random.nextDouble());
            int region = region(random.nextInt(workload.totalSlots(regions)));
            int host = random.nextInt(workload.hostsPerRegion());
            long service = (long) exponential(random, (double) workload.meanServiceNanos());
            long now = loop.nowNanos();
            onArrival.accept(new Job(
                    "j" + number, region, host, priority, now, service, now + workload.deadlineNanos(priority)));
            scheduleArrivals(number + 1, random, loop, onArrival);
        });
    }

    private int region(int slot) {
        int remaining = slot;
        for (int region = 0; region < regions; region++) {
            remaining -= workload.serversByRegion().get(region) * workload.slotsPerServer();
            if (remaining < 0) {
                return region;
            }
        }
        throw new IllegalStateException("slot " + slot + " is in no region");
    }

    private void injectFault(SimulatedRegion region, Strategy strategy, Set<String> dead) {
        String host = strategy.faultTarget(region);
        switch (fault) {
            case DEAD_HOST -> {
                dead.add(host);
                strategy.hostDied(host);
            }
            case PAUSED_BROKER -> strategy.hostPaused(host);
            default -> {
                // no host fails at this time
            }
        }
    }

    /** Returns the host that a job arrives at. A caller whose host is dead uses the next live one. */
    private static String liveHost(SimulatedRegion region, Job job, Set<String> dead) {
        int host = job.host();
        while (dead.contains(region.hosts().get(host))) {
            host = (host + 1) % region.hosts().size();
        }
        return region.hosts().get(host);
    }

    private static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
