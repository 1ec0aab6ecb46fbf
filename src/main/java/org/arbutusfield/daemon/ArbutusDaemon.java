package org.arbutusfield.daemon;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.arbutusfield.Version;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.settings.HostSettings;
import org.arbutusfield.settings.SettingsReader;

/**
 * The program {@code arbutusd}. Exit codes: 0 after a graceful stop or successful check, 1 when the start failed, 2 for
 * invalid settings or usage.
 */
public final class ArbutusDaemon {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private ArbutusDaemon() {}

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        Options options = new Options()
                .addRequiredOption("s", "settings", true, "settings file (JSON)")
                .addOption(null, "check", false, "check the settings and exit")
                .addOption(null, "version", false, "print the version and exit");
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            printFailures(List.of(Failure.of(ErrorCode.USAGE, "", e.getMessage())));
            System.exit(EXIT_USAGE);
            return;
        }
        if (line.hasOption("version")) {
            System.out.println("arbutusd " + Version.RELEASE);
            return;
        }
        Either<List<Failure>, HostSettings> settings = SettingsReader.read(Path.of(line.getOptionValue("settings")));
        if (settings.isLeft()) {
            printFailures(settings.getLeft());
            System.exit(EXIT_USAGE);
        }
        if (line.hasOption("check")) {
            System.out.println("settings are valid");
            return;
        }
        run(settings.get());
    }

    private static void run(HostSettings settings) throws InterruptedException {
        Either<Failure, Daemon> daemon = Daemon.start(settings);
        if (daemon.isLeft()) {
            printFailures(List.of(daemon.getLeft()));
            System.exit(EXIT_FAILED);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon.get()), "graceful-stop"));
        daemon.get().awaitStop();
    }

    /** Exits with status 0 after a graceful stop; otherwise the exit status of the JVM would report the signal. */
    private static void stop(Daemon daemon) {
        daemon.stopGracefully();
        Runtime.getRuntime().halt(0);
    }

    private static void printFailures(List<Failure> failures) {
        failures.forEach(f -> System.err.println(
                f.code() + " " + f.subject() + ": " + f.code().message() + " " + f.detail()));
    }
}
