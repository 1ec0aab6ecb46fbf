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

/** Compares strategies for sharing servers among hosts, and prints one Markdown table for each load. */
public final class AdmissionExperiment {
    private static final double[] LOADS_PERCENT = {50, 80, 90, 95, 120, 200};
    private static final double PERCENT = 100;
    private static final double NANOS_PER_MILLI = 1e6;

    private final CommandLine commandLine;
    private final Workload workload;
    private final BrokerSettings settings;

    private AdmissionExperiment(CommandLine commandLine) {
        this.commandLine = commandLine;
        long serviceNanos = Duration.ofMillis(longOption("service-ms", 50)).toNanos();
        this.workload = Workload.of(
                commandLine.getOptionValue("user", "magnolia"), serviceNanos, commandLine.hasOption("one-class"));
        boolean byDeadline = commandLine.getOptionValue("order", "fifo").equals("edf");
        BrokerSettings defaults = BrokerSettings.defaults();
        this.settings = defaults.withOrder(byDeadline ? QueueOrder.EARLIEST_DEADLINE : QueueOrder.FIFO)
                .withPermits((int) longOption("permits", BrokerSettings.TAKE_OVER_PERMITS));
    }

    /**
     * Runs the comparison.
     *
     * @param args command-line options
     * @throws ParseException if the options are not valid
     */
    public static void main(String[] args) throws ParseException {
        Options options = new Options();
        options.addOption(null, "user", true, "team whose workload is simulated: magnolia or sunsafety");
        options.addOption(null, "seed", true, "seed of the random jobs");
        options.addOption(null, "seconds", true, "measured time of each run, in seconds of virtual time");
        options.addOption(null, "load", true, "offered load in percent of all slots; default: several loads in turn");
        options.addOption(null, "fault", true, "none, dead-host, paused-broker or lagging-1s");
        options.addOption(null, "regions", true, "number of regions: 1 or 3");
        options.addOption(null, "service-ms", true, "mean service time in milliseconds");
        options.addOption(null, "order", true, "queue order: fifo or edf (earliest deadline first)");
        options.addOption(null, "one-class", false, "give all requests the interactive priority");
        options.addOption(null, "permits", true, "queued requests that may take over a slot of their host");
        options.addOption(null, "strategy", true, "run only strategies whose name contains this text");
        new AdmissionExperiment(new DefaultParser().parse(options, args)).print();
    }

    private void print() {
        if (commandLine.hasOption("load")) {
            printTable(Double.parseDouble(commandLine.getOptionValue("load")));
            return;
        }
        for (double load : LOADS_PERCENT) {
            printTable(load);
        }
    }

    private void printTable(double load) {
        int regions = (int) longOption("regions", 1);
        SimulationRun run = new SimulationRun(
                workload,
                regions,
                load / PERCENT,
                longOption("seed", 1),
                longOption("seconds", 300),
                Scenario.Fault.of(commandLine.getOptionValue("fault", "none")));
        System.out.printf(
                Locale.ROOT,
                "%n%s, %d region(s), %d slots, load %.0f %%, fault %s, order %s, seed %d, %d s, mean service %.0f ms%n%n",
                workload.team(),
                regions,
                workload.totalSlots(regions),
                load,
                run.fault(),
                commandLine.getOptionValue("order", "fifo"),
                run.seed(),
                run.seconds(),
                workload.meanServiceNanos() / NANOS_PER_MILLI);
        System.out.println(
                "| strategy | latency p50 / p99 / p99.9 ms | wait p99 all / interactive ms | refused % | late % | lost % |"
                        + " sheds per 100 | goodput % | idle while waiting % | messages | completed % B / I / L |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        strategies(run)
                .forEach((name, statistics) -> System.out.println(formatRow(name, statistics.get(), run.endNanos())));
    }

    private Map<String, Supplier<RunStatistics>> strategies(SimulationRun run) {
        Map<String, Supplier<RunStatistics>> byName = new LinkedHashMap<>();
        addRegional(byName, run, "random", region -> LocalChoiceStrategy.random(region, random(run)));
        addRegional(byName, run, "least reported load", region -> LocalChoiceStrategy.leastLoaded(region, random(run)));
        addRegional(byName, run, "two choices", region -> LocalChoiceStrategy.twoChoices(region, random(run)));
        addRegional(byName, run, "own in-flight", region -> LocalChoiceStrategy.ownInFlight(region, random(run)));
        addRegional(byName, run, "owner forwards", region -> OwnerStrategy.of(region, random(run), settings));
        addRegional(byName, run, "slot broker", region -> BrokerStrategy.of(region, settings));
        byName.put(
                "bound: queue per region",
                () -> run.runIdealQueues(loop -> statistics -> regionQueues(run.regions(), loop, statistics)));
        if (run.regions() > 1) {
            byName.put(
                    "bound: one queue + link",
                    () -> run.runIdealQueues(loop ->
                            statistics -> List.of(IdealQueue.of(workload, loop, statistics, settings, 0, 1, 2))));
        }
        String only = commandLine.getOptionValue("strategy", "");
        byName.keySet().removeIf(name -> !name.contains(only));
        return byName;
    }

    private List<IdealQueue> regionQueues(int regions, SimulationLoop loop, RunStatistics statistics) {
        List<IdealQueue> queues = new ArrayList<>();
        for (int region = 0; region < regions; region++) {
            queues.add(IdealQueue.of(workload, loop, statistics, settings, region));
        }
        return queues;
    }

    private static void addRegional(
            Map<String, Supplier<RunStatistics>> byName,
            SimulationRun run,
            String name,
            Function<SimulatedRegion, Strategy> strategy) {
        byName.put(name, () -> run.runPerRegion(strategy));
    }

    private static SplittableRandom random(SimulationRun run) {
        return new SplittableRandom(~run.seed());
    }

    private static String formatRow(String name, RunStatistics statistics, long endNanos) {
        return String.format(
                Locale.ROOT,
                "| %s | %.1f / %.1f / %.1f | %.1f / %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f / %.1f / %.1f |",
                name,
                statistics.latency().getValueAtPercentile(50) / NANOS_PER_MILLI,
                statistics.latency().getValueAtPercentile(99) / NANOS_PER_MILLI,
                statistics.latency().getValueAtPercentile(99.9) / NANOS_PER_MILLI,
                statistics.waitTimes().getValueAtPercentile(99) / NANOS_PER_MILLI,
                statistics.interactiveWaitTimes().getValueAtPercentile(99) / NANOS_PER_MILLI,
                PERCENT * statistics.refusedShare(),
                PERCENT * statistics.lateShare(),
                PERCENT * statistics.lostShare(),
                PERCENT * statistics.shedsPerRequest(),
                PERCENT * statistics.goodput(endNanos),
                PERCENT * statistics.idleWhileWaitingShare(endNanos),
                statistics.messagesPerRequest(),
                PERCENT * statistics.completedShare(Priority.NON_REPEATABLE),
                PERCENT * statistics.completedShare(Priority.INTERACTIVE),
                PERCENT * statistics.completedShare(Priority.BACKGROUND));
    }

    private long longOption(String option, long defaultValue) {
        return Long.parseLong(commandLine.getOptionValue(option, Long.toString(defaultValue)));
    }
}
