package org.arbutusfield.lab.control;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.RevisionAnnouncement;
import org.arbutusfield.misc.Digests;

/**
 * Measures a fleet of pure state machines in virtual time: how long a revision takes to reach all hosts and how much
 * each host sends, without faults, with message loss, with a dead failure domain and with an isolated region.
 */
public final class VirtualExperiment {
    private static final long SEED = 20_261_203;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration MEASUREMENT_WINDOW = Duration.ofSeconds(10);
    private static final Duration MAX_WAIT = Duration.ofMinutes(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final double LOSS = 0.01;
    private static final double BYTES_PER_KILOBYTE = 1000;

    private final PrintStream out = System.out;

    private VirtualExperiment() {}

    /**
     * Runs the scenarios and prints each result as a table row.
     *
     * @param arguments number of hosts, number of failure domains, and seconds for which a region is isolated
     */
    public static void main(String[] arguments) {
        int hosts = Integer.parseInt(arguments[0]);
        int domains = Integer.parseInt(arguments[1]);
        Duration isolation = Duration.ofSeconds(Long.parseLong(arguments[2]));
        VirtualExperiment experiment = new VirtualExperiment();
        experiment.measureIdle(hosts, domains);
        experiment.measureChange(hosts, domains, 0);
        experiment.measureChange(hosts, domains, LOSS);
        experiment.measureLeavingHost(hosts, domains);
        experiment.measureDeadDomain(hosts, domains);
        experiment.measureIsolatedRegion(hosts, domains, isolation);
    }

    private void measureIdle(int hosts, int domains) {
        StateMachineFleet fleet = startFleet(hosts, domains);
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        fleet.run(MEASUREMENT_WINDOW);
        printRow(hosts, "idle", "messages/s per host", (fleet.messages() - messages) / perHostSecond(hosts));
        printRow(hosts, "idle", "kB/s per host", (fleet.bytes() - bytes) / BYTES_PER_KILOBYTE / perHostSecond(hosts));
        double mesh = (hosts - 1) * 2 * ((fleet.bytes() - bytes) / (double) (fleet.messages() - messages));
        printRow(hosts, "plain: full mesh", "kB/s per host", mesh / BYTES_PER_KILOBYTE);
    }

    private void measureChange(int hosts, int domains, double loss) {
        StateMachineFleet fleet = startFleet(hosts, domains);
        fleet.loss(loss);
        long bytes = fleet.bytes();
        long startNanos = fleet.timer.nowNanos();
        RevisionAnnouncement accepted = announcement(1);
        fleet.installOn(fleet.hosts.get(hosts / 2), accepted);
        String scenario = String.format(Locale.ROOT, "change, loss %.0f %%", loss * 100);
        printRow(hosts, scenario, "s until all", secondsUntil(fleet, () -> inForce(fleet, accepted)));
        double[] times = fleet.hosts.stream()
                .mapToDouble(host -> (host.installedNanos - startNanos) / 1e9)
                .sorted()
                .toArray();
        printRow(hosts, scenario, "s until half", times[hosts / 2]);
        double taken = (fleet.timer.nowNanos() - startNanos) / 1e9;
        double rate = (fleet.bytes() - bytes) / BYTES_PER_KILOBYTE / hosts;
        printRow(hosts, scenario, "kB per host in that time (" + format(taken) + " s)", rate);
    }

    private void measureLeavingHost(int hosts, int domains) {
        StateMachineFleet fleet = startFleet(hosts, domains);
        fleet.loss(LOSS);
        StateMachineHost host = fleet.hosts.get(hosts / 3);
        host.view = host.view.leave(fleet.timer.nowNanos()).view();
        fleet.installOn(host, announcement(1));
        String name = host.member.name();
        printRow(
                hosts,
                "host leaves, loss 1 %",
                "s until in no view",
                secondsUntil(fleet, () -> fleet.countHostsWithState(name, MemberState.LEAVING) == hosts));
    }

    private void measureDeadDomain(int hosts, int domains) {
        StateMachineFleet fleet = startFleet(hosts, domains);
        fleet.loss(LOSS);
        String domain = StateMachineFleet.domainName(domains - 1);
        for (StateMachineHost host : fleet.hosts) {
            host.dead = host.member.failureDomain().equals(domain);
        }
        long bytes = fleet.bytes();
        RevisionAnnouncement accepted = announcement(1);
        fleet.installOn(fleet.hosts.get(0), accepted);
        printRow(
                hosts,
                "domain dead",
                "s until a change is in force on all live",
                secondsUntil(fleet, () -> inForce(fleet, accepted)));
        long live = fleet.hosts.stream().filter(host -> !host.dead).count();
        double taken = secondsUntil(fleet, () -> fleet.countAccurateViews() == live);
        printRow(hosts, "domain dead", "further s until all views agree", taken);
        double rate = (fleet.bytes() - bytes)
                / BYTES_PER_KILOBYTE
                / live
                / (fleet.timer.nowNanos() / 1e9 - WARM_UP.toSeconds());
        printRow(hosts, "domain dead", "kB/s per host until then", rate);
    }

    private void measureIsolatedRegion(int hosts, int domains, Duration isolation) {
        StateMachineFleet fleet = startFleet(hosts, domains);
        fleet.isolate(0);
        fleet.run(isolation);
        RevisionAnnouncement accepted = announcement(1);
        fleet.installOn(fleet.hosts.get(1), accepted);
        fleet.run(MEASUREMENT_WINDOW);
        fleet.isolate(-1);
        long bytes = fleet.bytes();
        long startNanos = fleet.timer.nowNanos();
        String scenario = "region apart for " + isolation.toSeconds() + " s, then back";
        printRow(
                hosts,
                scenario,
                "s until the change is in force on all",
                secondsUntil(fleet, () -> inForce(fleet, accepted)));
        double views = secondsUntil(fleet, () -> fleet.countAccurateViews() == hosts);
        printRow(hosts, scenario, "further s until all views agree", views);
        double taken = (fleet.timer.nowNanos() - startNanos) / 1e9;
        printRow(
                hosts,
                scenario,
                "kB/s per host until then",
                (fleet.bytes() - bytes) / BYTES_PER_KILOBYTE / hosts / taken);
        printRow(hosts, scenario, "largest message, kB", fleet.largestMessage() / BYTES_PER_KILOBYTE);
    }

    private static StateMachineFleet startFleet(int hosts, int domains) {
        StateMachineFleet fleet = new StateMachineFleet(hosts, domains, SEED);
        fleet.run(WARM_UP);
        return fleet;
    }

    private static boolean inForce(StateMachineFleet fleet, RevisionAnnouncement accepted) {
        return fleet.hosts.stream().allMatch(host -> host.dead || host.installed.equals(accepted));
    }

    private static double secondsUntil(StateMachineFleet fleet, BooleanSupplier reached) {
        long startNanos = fleet.timer.nowNanos();
        long endNanos = startNanos + MAX_WAIT.toNanos();
        while (!reached.getAsBoolean()) {
            if (fleet.timer.nowNanos() >= endNanos) {
                return Double.POSITIVE_INFINITY;
            }
            fleet.run(POLL_INTERVAL);
        }
        return (fleet.timer.nowNanos() - startNanos) / 1e9;
    }

    private static double perHostSecond(int hosts) {
        return (double) hosts * MEASUREMENT_WINDOW.toSeconds();
    }

    private static RevisionAnnouncement announcement(long revision) {
        return new RevisionAnnouncement(revision, Digests.sha256(new byte[] {(byte) revision}));
    }

    private void printRow(int hosts, String scenario, String measure, double value) {
        out.printf(Locale.ROOT, "| %d | %s | %s | %s |%n", hosts, scenario, measure, format(value));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
