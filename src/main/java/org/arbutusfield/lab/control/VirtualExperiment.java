package org.arbutusfield.lab.control;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.arbutusfield.member.MemberState;
import org.arbutusfield.member.RevisionAnnouncement;
import org.arbutusfield.misc.Digests;

/**
 * Measures the pure state machines of fleets of several sizes in virtual time: how long a revision takes to all hosts,
 * what a host sends, and the same with loss, a dead failure domain and a region cut off.
 */
public final class VirtualExperiment {
    private static final long SEED = 20_261_203;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration LONGEST = Duration.ofMinutes(2);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final double LOSS = 0.01;
    private static final double BYTES_PER_KILOBYTE = 1000;

    private final PrintStream out = System.out;

    private VirtualExperiment() {}

    /**
     * Runs the scenarios and prints a table row for each.
     *
     * @param arguments number of hosts, failure domains, and seconds for which a region is cut off
     */
    public static void main(String[] arguments) {
        int hosts = Integer.parseInt(arguments[0]);
        int domains = Integer.parseInt(arguments[1]);
        Duration apart = Duration.ofSeconds(Long.parseLong(arguments[2]));
        VirtualExperiment experiment = new VirtualExperiment();
        experiment.idle(hosts, domains);
        experiment.change(hosts, domains, 0);
        experiment.change(hosts, domains, LOSS);
        experiment.leaving(hosts, domains);
        experiment.deadDomain(hosts, domains);
        experiment.cutRegion(hosts, domains, apart);
    }

    private void idle(int hosts, int domains) {
        PureFleet fleet = started(hosts, domains);
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        fleet.run(WINDOW);
        row(hosts, "idle", "messages/s per host", (fleet.messages() - messages) / perHostSecond(hosts));
        row(hosts, "idle", "kB/s per host", (fleet.bytes() - bytes) / BYTES_PER_KILOBYTE / perHostSecond(hosts));
        double mesh = (hosts - 1) * 2 * ((fleet.bytes() - bytes) / (double) (fleet.messages() - messages));
        row(hosts, "plain: full mesh", "kB/s per host", mesh / BYTES_PER_KILOBYTE);
    }

    private void change(int hosts, int domains, double loss) {
        PureFleet fleet = started(hosts, domains);
        fleet.loss(loss);
        long bytes = fleet.bytes();
        long startNanos = fleet.timer.nowNanos();
        RevisionAnnouncement accepted = announcement(1);
        fleet.accept(fleet.hosts.get(hosts / 2), accepted);
        String scenario = String.format(Locale.ROOT, "change, loss %.0f %%", loss * 100);
        row(hosts, scenario, "s until all", until(fleet, () -> inForce(fleet, accepted)));
        double[] times = fleet.hosts.stream()
                .mapToDouble(host -> (host.installedNanos - startNanos) / 1e9)
                .sorted()
                .toArray();
        row(hosts, scenario, "s until half", times[hosts / 2]);
        double taken = (fleet.timer.nowNanos() - startNanos) / 1e9;
        double rate = (fleet.bytes() - bytes) / BYTES_PER_KILOBYTE / hosts;
        row(hosts, scenario, "kB per host in that time (" + seconds(taken) + " s)", rate);
    }

    private void leaving(int hosts, int domains) {
        PureFleet fleet = started(hosts, domains);
        fleet.loss(LOSS);
        PureHost host = fleet.hosts.get(hosts / 3);
        host.view = host.view.leave(fleet.timer.nowNanos()).view();
        fleet.accept(host, announcement(1));
        String name = host.member.name();
        row(
                hosts,
                "host leaves, loss 1 %",
                "s until in no view",
                until(fleet, () -> fleet.holding(name, MemberState.LEAVING) == hosts));
    }

    private void deadDomain(int hosts, int domains) {
        PureFleet fleet = started(hosts, domains);
        fleet.loss(LOSS);
        String domain = PureFleet.domainName(domains - 1);
        for (PureHost host : fleet.hosts) {
            host.dead = host.member.failureDomain().equals(domain);
        }
        long bytes = fleet.bytes();
        RevisionAnnouncement accepted = announcement(1);
        fleet.accept(fleet.hosts.get(0), accepted);
        row(
                hosts,
                "domain dead",
                "s until a change is in force on all live",
                until(fleet, () -> inForce(fleet, accepted)));
        long live = fleet.hosts.stream().filter(host -> !host.dead).count();
        double taken = until(fleet, () -> fleet.accurate() == live);
        row(hosts, "domain dead", "further s until all views agree", taken);
        double rate = (fleet.bytes() - bytes)
                / BYTES_PER_KILOBYTE
                / live
                / (fleet.timer.nowNanos() / 1e9 - WARM_UP.toSeconds());
        row(hosts, "domain dead", "kB/s per host until then", rate);
    }

    private void cutRegion(int hosts, int domains, Duration apart) {
        PureFleet fleet = started(hosts, domains);
        fleet.cut(0);
        fleet.run(apart);
        RevisionAnnouncement accepted = announcement(1);
        fleet.accept(fleet.hosts.get(1), accepted);
        fleet.run(WINDOW);
        fleet.cut(-1);
        long bytes = fleet.bytes();
        long startNanos = fleet.timer.nowNanos();
        String scenario = "region apart for " + apart.toSeconds() + " s, then back";
        row(hosts, scenario, "s until the change is in force on all", until(fleet, () -> inForce(fleet, accepted)));
        double views = until(fleet, () -> fleet.accurate() == hosts);
        row(hosts, scenario, "further s until all views agree", views);
        double taken = (fleet.timer.nowNanos() - startNanos) / 1e9;
        row(hosts, scenario, "kB/s per host until then", (fleet.bytes() - bytes) / BYTES_PER_KILOBYTE / hosts / taken);
        row(hosts, scenario, "largest message, kB", fleet.largestMessage() / BYTES_PER_KILOBYTE);
    }

    private static PureFleet started(int hosts, int domains) {
        PureFleet fleet = new PureFleet(hosts, domains, SEED);
        fleet.run(WARM_UP);
        return fleet;
    }

    private static boolean inForce(PureFleet fleet, RevisionAnnouncement accepted) {
        return fleet.hosts.stream().allMatch(host -> host.dead || host.installed.equals(accepted));
    }

    private static double until(PureFleet fleet, BooleanSupplier reached) {
        long startNanos = fleet.timer.nowNanos();
        long endNanos = startNanos + LONGEST.toNanos();
        while (!reached.getAsBoolean()) {
            if (fleet.timer.nowNanos() >= endNanos) {
                return Double.POSITIVE_INFINITY;
            }
            fleet.run(STEP);
        }
        return (fleet.timer.nowNanos() - startNanos) / 1e9;
    }

    private static double perHostSecond(int hosts) {
        return (double) hosts * WINDOW.toSeconds();
    }

    private static RevisionAnnouncement announcement(long revision) {
        return new RevisionAnnouncement(revision, Digests.sha256(new byte[] {(byte) revision}));
    }

    private void row(int hosts, String scenario, String measure, double value) {
        out.printf(Locale.ROOT, "| %d | %s | %s | %s |%n", hosts, scenario, measure, seconds(value));
    }

    private static String seconds(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
