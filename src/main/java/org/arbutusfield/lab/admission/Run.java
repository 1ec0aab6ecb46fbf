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
 * One load on one strategy. Runs with the same seed get the same jobs at the same times, whatever the strategy.
 *
 * @param workload sizes and delays
 * @param regions how many regions take part
 * @param load offered service time over slot time
 * @param seed of the jobs
 * @param seconds length, after the warm-up
 * @param fault what fails after a third of the run
 */
record Run(Workload workload, int regions, double load, long seed, long seconds, Scenario.Fault fault) {
    private static final long WARM_UP_NANOS = Duration.ofSeconds(10).toNanos();

    /** Runs a strategy that works within each region. */
    Tally regional(Function<Site, Strategy> strategy) {
        Loop loop = Loop.create();
        Tally tally = tally();
        Scenario scenario = new Scenario(fault, WARM_UP_NANOS + endNanos() / 3);
        List<Site> sites = new ArrayList<>();
        List<Strategy> strategies = new ArrayList<>();
        Set<String> dead = new HashSet<>();
        for (int region = 0; region < regions; region++) {
            sites.add(Site.of(workload, region, loop, tally, scenario));
            strategies.add(strategy.apply(sites.get(region)));
        }
        loop.after(scenario.faultNanos(), () -> fail(sites.get(0), strategies.get(0), dead));
        return run(loop, tally, job -> {
            Site site = sites.get(job.region());
            strategies.get(job.region()).arrive(job, liveHost(site, job, dead));
        });
    }

    /** Runs lower bounds: one queue per region, or one over all of them. */
    Tally ideal(Function<Loop, Function<Tally, List<IdealQueue>>> queues) {
        Loop loop = Loop.create();
        Tally tally = tally();
        List<IdealQueue> made = queues.apply(loop).apply(tally);
        return run(loop, tally, job -> made.get(job.region() % made.size()).arrive(job));
    }

    /** When the run ends, in nanoseconds of virtual time. */
    long endNanos() {
        return WARM_UP_NANOS + Duration.ofSeconds(seconds).toNanos();
    }

    private Tally tally() {
        return Tally.of(workload.slots(regions), WARM_UP_NANOS);
    }

    private Tally run(Loop loop, Tally tally, Consumer<Job> arrive) {
        loop.after(WARM_UP_NANOS, () -> tally.open(loop.nowNanos()));
        SplittableRandom random = new SplittableRandom(seed);
        next(0, random, loop, job -> {
            tally.arrived(job, loop.nowNanos());
            arrive.accept(job);
        });
        loop.runUntil(endNanos());
        return tally;
    }

    private void next(long number, SplittableRandom random, Loop loop, Consumer<Job> arrive) {
        double meanGap = workload.meanServiceNanos() / (load * workload.slots(regions));
        loop.after((long) exponential(random, meanGap), () -> {
            Priority priority = workload.priority(random.nextDouble());
            int region = region(random.nextInt(workload.slots(regions)));
            int host = random.nextInt(workload.hostsPerRegion());
            long service = (long) exponential(random, (double) workload.meanServiceNanos());
            long now = loop.nowNanos();
            arrive.accept(new Job(
                    "j" + number, region, host, priority, now, service, now + workload.deadlineNanos(priority)));
            next(number + 1, random, loop, arrive);
        });
    }

    private int region(int slot) {
        int left = slot;
        for (int region = 0; region < regions; region++) {
            left -= workload.serversByRegion().get(region) * workload.slots();
            if (left < 0) {
                return region;
            }
        }
        throw new IllegalStateException("slot " + slot + " is in no region");
    }

    private void fail(Site site, Strategy strategy, Set<String> dead) {
        String host = strategy.weakest(site);
        switch (fault) {
            case DEAD_HOST -> {
                dead.add(host);
                strategy.died(host);
            }
            case PAUSED_BROKER -> strategy.paused(host);
            default -> {
                // nothing fails at once
            }
        }
    }

    /** A caller whose host is dead goes to the next one. */
    private static String liveHost(Site site, Job job, Set<String> dead) {
        int host = job.host();
        while (dead.contains(site.hosts().get(host))) {
            host = (host + 1) % site.hosts().size();
        }
        return site.hosts().get(host);
    }

    private static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
