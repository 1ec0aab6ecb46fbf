package org.arbutusfield.lab.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.arbutusfield.admission.BrokerSettings;
import org.arbutusfield.admission.Priority;
import org.arbutusfield.admission.QueueOrder;

/** Compares ways to share servers among hosts and prints one Markdown table for each load. */
public final class AdmissionExperiment {
    private static final double[] LOADS = {50, 80, 90, 95, 120, 200};
    private static final double PERCENT = 100;
    private static final double NANOS_PER_MILLI = 1e6;

    private final CommandLine line;
    private final Workload workload;
    private final BrokerSettings settings;

    private AdmissionExperiment(CommandLine line) {
        this.line = line;
        long serviceNanos = Duration.ofMillis(number("service-ms", 50)).toNanos();
        this.workload = Workload.of(line.getOptionValue("user", "magnolia"), serviceNanos, line.hasOption("one-class"));
        boolean byDeadline = line.getOptionValue("order", "fifo").equals("edf");
        BrokerSettings defaults = BrokerSettings.defaults();
        this.settings = defaults.withOrder(byDeadline ? QueueOrder.EARLIEST_DEADLINE : QueueOrder.FIFO)
                .withPermits((int) number("permits", BrokerSettings.TAKE_OVER_PERMITS));
    }

    /**
     * Runs the comparison.
     *
     * @param args see the options
     * @throws ParseException when the options are wrong
     */
    public static void main(String[] args) throws ParseException {
        Options options = new Options();
        options.addOption(null, "user", true, "magnolia or sunsafety");
        options.addOption(null, "seed", true, "seed of the jobs");
        options.addOption(null, "seconds", true, "length of each run in virtual time");
        options.addOption(null, "load", true, "offered load in percent of slots; all loads when absent");
        options.addOption(null, "fault", true, "none, dead-host, paused-broker or lagging-1s");
        options.addOption(null, "regions", true, "1 or 3");
        options.addOption(null, "service-ms", true, "mean service time in milliseconds");
        options.addOption(null, "order", true, "fifo or edf");
        options.addOption(null, "one-class", false, "all requests are interactive");
        options.addOption(null, "permits", true, "waiting requests that may take over a slot of their host");
        options.addOption(null, "strategy", true, "only the strategies whose name contains this");
        new AdmissionExperiment(new DefaultParser().parse(options, args)).print();
    }

    private void print() {
        if (line.hasOption("load")) {
            table(Double.parseDouble(line.getOptionValue("load")));
            return;
        }
        for (double load : LOADS) {
            table(load);
        }
    }

    private void table(double load) {
        int regions = (int) number("regions", 1);
        Run run = new Run(
                workload,
                regions,
                load / PERCENT,
                number("seed", 1),
                number("seconds", 300),
                Scenario.Fault.of(line.getOptionValue("fault", "none")));
        System.out.printf(
                Locale.ROOT,
                "%n%s, %d region(s), %d slots, load %.0f %%, fault %s, order %s, seed %d, %d s, mean service %.0f ms%n%n",
                workload.user(),
                regions,
                workload.slots(regions),
                load,
                run.fault(),
                line.getOptionValue("order", "fifo"),
                run.seed(),
                run.seconds(),
                workload.meanServiceNanos() / NANOS_PER_MILLI);
        System.out.println(
                "| strategy | latency p50 / p99 / p99.9 ms | wait p99 all / interactive ms | refused % | late % | lost % |"
                        + " sheds per 100 | goodput % | idle while waiting % | messages | completed % B / I / L |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        strategies(run).forEach((name, tally) -> System.out.println(row(name, tally.get(), run.endNanos())));
    }

    private Map<String, Supplier<Tally>> strategies(Run run) {
        Map<String, Supplier<Tally>> all = new LinkedHashMap<>();
        addRegional(all, run, "random", site -> PickStrategy.random(site, random(run)));
        addRegional(all, run, "least reported load", site -> PickStrategy.leastLoaded(site, random(run)));
        addRegional(all, run, "two choices", site -> PickStrategy.twoChoices(site, random(run)));
        addRegional(all, run, "own in-flight", site -> PickStrategy.ownInFlight(site, random(run)));
        addRegional(all, run, "owner forwards", site -> OwnerStrategy.of(site, random(run), settings));
        addRegional(all, run, "slot broker", site -> BrokerStrategy.of(site, settings));
        all.put("bound: queue per region", () -> run.ideal(loop -> tally -> regionQueues(run.regions(), loop, tally)));
        if (run.regions() > 1) {
            all.put(
                    "bound: one queue + link",
                    () -> run.ideal(loop -> tally -> List.of(IdealQueue.of(workload, loop, tally, settings, 0, 1, 2))));
        }
        String only = line.getOptionValue("strategy", "");
        all.keySet().removeIf(name -> !name.contains(only));
        return all;
    }

    private List<IdealQueue> regionQueues(int regions, Loop loop, Tally tally) {
        List<IdealQueue> queues = new ArrayList<>();
        for (int region = 0; region < regions; region++) {
            queues.add(IdealQueue.of(workload, loop, tally, settings, region));
        }
        return queues;
    }

    private static void addRegional(
            Map<String, Supplier<Tally>> all, Run run, String name, Function<Site, Strategy> strategy) {
        all.put(name, () -> run.regional(strategy));
    }

    private static SplittableRandom random(Run run) {
        return new SplittableRandom(~run.seed());
    }

    private static String row(String name, Tally tally, long endNanos) {
        return String.format(
                Locale.ROOT,
                "| %s | %.1f / %.1f / %.1f | %.1f / %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f / %.1f / %.1f |",
                name,
                tally.latency().getValueAtPercentile(50) / NANOS_PER_MILLI,
                tally.latency().getValueAtPercentile(99) / NANOS_PER_MILLI,
                tally.latency().getValueAtPercentile(99.9) / NANOS_PER_MILLI,
                tally.waits().getValueAtPercentile(99) / NANOS_PER_MILLI,
                tally.interactiveWaits().getValueAtPercentile(99) / NANOS_PER_MILLI,
                PERCENT * tally.refusedShare(),
                PERCENT * tally.lateShare(),
                PERCENT * tally.lostShare(),
                PERCENT * tally.shedsPerRequest(),
                PERCENT * tally.goodput(endNanos),
                PERCENT * tally.idleWhileWaitingShare(endNanos),
                tally.messagesPerRequest(),
                PERCENT * tally.completedShare(Priority.NON_REPEATABLE),
                PERCENT * tally.completedShare(Priority.INTERACTIVE),
                PERCENT * tally.completedShare(Priority.BACKGROUND));
    }

    private long number(String option, long otherwise) {
        return Long.parseLong(line.getOptionValue(option, Long.toString(otherwise)));
    }
}
