package org.arbutusfield.lab;

import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.lab.load.LoadGenerator;
import org.arbutusfield.lab.load.LoadPlan;
import org.arbutusfield.lab.soak.Soak;
import org.arbutusfield.lab.soak.SoakPlan;
import org.arbutusfield.lab.soak.SoakReport;
import org.arbutusfield.note.NoteReader;
import org.arbutusfield.timer.SystemTimer;

/**
 * The program {@code arbutuslab} with the commands {@code store}, {@code upstreams}, {@code load} and {@code soak}.
 * Exit codes: 0 success, 1 failure or violated guarantee, 2 wrong usage.
 */
public final class ArbutusLab {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final long POLL_MILLIS = 50;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final SystemTimer timer = SystemTimer.start();
    private final CommandLine commandLine;

    private ArbutusLab(CommandLine commandLine) {
        this.commandLine = commandLine;
    }

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException, IOException {
        Options options = new Options()
                .addOption(null, "listen", true, "store: IP:PORT to listen on")
                .addOption(null, "note", true, "upstreams: release note whose upstreams are started")
                .addOption(
                        null,
                        "service-millis",
                        true,
                        "upstreams: service time of a request in milliseconds; default 20")
                .addOption(null, "hosts", true, "load: caller addresses of some hosts, IP:PORT,...")
                .addOption(null, "service", true, "load: service to call; default quotedesk")
                .addOption(null, "booking", true, "load: path of requests that may not be repeated; default /holds")
                .addOption(null, "rate", true, "load: requests per second; default 100")
                .addOption(null, "seconds", true, "load, soak: duration of a run; default 10 for load, 20 for soak")
                .addOption(null, "seed", true, "load: seed; soak: seed of the first run; default 1")
                .addOption(null, "runs", true, "soak: number of runs, each with the next seed; default 1")
                .addOption(null, "processes", true, "soak: number of edge hosts; default 6")
                .addOption(
                        null,
                        "directory",
                        true,
                        "soak: where the hosts' settings and logs are written; default a new one");
        try {
            System.exit(new ArbutusLab(new DefaultParser().parse(options, args)).run());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private int run() throws InterruptedException, IOException {
        String command = commandLine.getArgList().isEmpty()
                ? ""
                : commandLine.getArgList().get(0);
        return switch (command) {
            case "store" ->
                serve(StoreStandIn.bind(
                        group,
                        parseAddresses(commandLine.getOptionValue("listen", "127.0.0.1:20000"))
                                .get(0),
                        timer));
            case "upstreams" -> upstreams();
            case "load" -> load();
            case "soak" -> soak();
            default -> {
                System.err.println("usage: arbutuslab store|upstreams|load|soak [options]");
                yield EXIT_USAGE;
            }
        };
    }

    private int upstreams() throws InterruptedException, IOException {
        Duration serviceTime = Duration.ofMillis(longOption("service-millis", "20"));
        byte[] document = Files.readAllBytes(Path.of(commandLine.getOptionValue("note")));
        Either<Failure, UpstreamFleet> fleet = NoteReader.read(document)
                .mapLeft(failures -> failures.get(0))
                .flatMap(note -> UpstreamFleet.bind(group, note.added(), serviceTime, timer));
        fleet.peek(f -> Runtime.getRuntime().addShutdownHook(new Thread(() -> printReport(f), "report")));
        return serve(fleet);
    }

    private static void printReport(UpstreamFleet fleet) {
        long keysRunTwice =
                fleet.keyRuns().values().stream().filter(runs -> runs > 1).count();
        System.out.printf(
                "keys_run=%d keys_run_twice=%d sheds=%d%n", fleet.keyRuns().size(), keysRunTwice, fleet.sheds());
        System.out.flush();
    }

    private int load() throws InterruptedException {
        LoadPlan plan = new LoadPlan(
                parseAddresses(commandLine.getOptionValue("hosts", "127.0.0.1:20100")),
                commandLine.getOptionValue("service", "quotedesk"),
                commandLine.getOptionValue("booking", "/holds"),
                "/quotes",
                "/blob",
                (int) longOption("rate", "100"),
                Duration.ofSeconds(longOption("seconds", "10")),
                longOption("seed", "1"));
        LoadGenerator generator = LoadGenerator.create(plan, HttpClient.create(group, CONNECT_TIMEOUT), timer);
        generator.start();
        TimeUnit.NANOSECONDS.sleep(plan.duration().toNanos());
        while (!generator.finished()) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        System.out.println(generator.report());
        return generator.report().cutShort() + generator.report().wrong() == 0 ? 0 : EXIT_FAILED;
    }

    private int soak() throws InterruptedException, IOException {
        int seconds = (int) longOption("seconds", "20");
        int processes = (int) longOption("processes", "6");
        Path directory = commandLine.hasOption("directory")
                ? Files.createDirectories(Path.of(commandLine.getOptionValue("directory")))
                : Files.createTempDirectory("soak");
        long firstSeed = longOption("seed", "1");
        int violationCount = 0;
        for (long seed = firstSeed; seed < firstSeed + longOption("runs", "1"); seed++) {
            SoakPlan plan = new SoakPlan(
                    seed, processes, processes, 3 * processes, Duration.ofSeconds(seconds), processes * seconds / 5);
            SoakReport report = Soak.run(plan, Files.createDirectories(directory.resolve("seed-" + seed)));
            System.out.printf(
                    "seed=%d requests=%d served=%d close_failures=%d crashes=%d broken=%d logs=%s%n",
                    seed,
                    report.requests(),
                    report.served(),
                    report.closeFailures(),
                    report.crashes(),
                    report.violations().size(),
                    directory);
            report.violations().forEach(violation -> System.out.println("  " + violation));
            violationCount += report.violations().size();
        }
        return violationCount == 0 ? 0 : EXIT_FAILED;
    }

    private static int serve(Either<Failure, ? extends AutoCloseable> started) throws InterruptedException {
        if (started.isLeft()) {
            System.err.println(started.getLeft());
            return EXIT_FAILED;
        }
        Thread.currentThread().join();
        return 0;
    }

    private long longOption(String option, String defaultValue) {
        return Long.parseLong(commandLine.getOptionValue(option, defaultValue));
    }

    private static List<InetSocketAddress> parseAddresses(String text) {
        return Stream.of(text.split(","))
                .map(part -> part.split(":", 2))
                .map(part -> new InetSocketAddress(part[0], Integer.parseInt(part[1])))
                .toList();
    }
}
