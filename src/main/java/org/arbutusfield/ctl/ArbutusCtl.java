package org.arbutusfield.ctl;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutusfield.Version;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpClient;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.model.Entity;
import org.arbutusfield.model.Kind;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.note.HistoryEntry;
import org.arbutusfield.store.HttpStore;

/**
 * The program {@code arbutusctl}: parses the command line, runs the command, prints the result and exits with an
 * {@link ExitCode}.
 */
public final class ArbutusCtl {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);
    private static final long POLL_MILLIS = 50;

    private final Invocation invocation;
    private final Printer printer;
    private final NoteCommands notes;
    private final HostQuery hosts;

    private ArbutusCtl(Invocation invocation, Printer printer, HttpClient client) {
        this.invocation = invocation;
        this.printer = printer;
        InetSocketAddress store =
                invocation.store().orElseGet(() -> new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        this.notes = NoteCommands.of(ConfigurationRepository.of(HttpStore.create(client, store, STORE_TIMEOUT)));
        this.hosts = HostQuery.of(client, invocation.hosts());
    }

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(run(System.out, System.err, args).status());
    }

    /** Runs one command line, printing to the given streams. */
    static ExitCode run(PrintStream out, PrintStream err, String... args) {
        Either<Failure, Invocation> parsed = Invocation.parse(args);
        if (parsed.isLeft()) {
            Printer.of(out, err, false).printFailures(List.of(parsed.getLeft()));
            err.print(Help.text());
            return ExitCode.USAGE;
        }
        Invocation invocation = parsed.get();
        EventLoopGroup group = new NioEventLoopGroup(1);
        try {
            HttpClient client = HttpClient.create(group, CONNECT_TIMEOUT);
            return new ArbutusCtl(invocation, Printer.of(out, err, invocation.json()), client).execute();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private ExitCode execute() {
        if (invocation.command().isEmpty()) {
            printer.print(Help.text(), Help.text());
            return ExitCode.DONE;
        }
        CtlCommand command = invocation.command().get();
        Either<List<Failure>, ExitCode> checked = checkRequirements(command);
        Either<List<Failure>, ExitCode> result = checked.isLeft() ? checked : perform(command);
        if (result.isLeft()) {
            printer.printFailures(result.getLeft());
            return ExitCode.of(result.getLeft());
        }
        return result.get();
    }

    private Either<List<Failure>, ExitCode> checkRequirements(CtlCommand command) {
        boolean needsHosts =
                switch (command) {
                    case NOTE_WAIT, STATUS, REPORT_BURN, TEAMS -> true;
                    default -> false;
                };
        if (needsHosts && invocation.hosts().isEmpty()) {
            return Either.left(List.of(Failure.of(ErrorCode.USAGE, command.words(), "needs --hosts")));
        }
        if (!needsHosts && command != CtlCommand.VERSION && invocation.store().isEmpty()) {
            return Either.left(List.of(Failure.of(ErrorCode.USAGE, command.words(), "needs --store")));
        }
        return Either.right(ExitCode.DONE);
    }

    private Either<List<Failure>, ExitCode> perform(CtlCommand command) {
        String argument = invocation.argument();
        return switch (command) {
            case NOTE_CHECK -> notes.check(argument).map(next -> printRevision("valid; would be revision ", next));
            case NOTE_DIFF -> notes.diff(argument).map(this::printLines);
            case NOTE_APPLY -> notes.apply(argument).map(next -> printRevision("applied as revision ", next));
            case NOTE_STATUS -> notes.find(argument).map(this::printNoteStatus);
            case NOTE_WAIT -> awaitRevision(argument);
            case SHOW -> notes.currentConfiguration().flatMap(this::show);
            case STATUS -> Either.right(printStatuses(hosts.statuses()));
            case DRAIN ->
                notes.drain(argument, true, invocation.noteId())
                        .map(next -> printRevision("drained in revision ", next));
            case UNDRAIN ->
                notes.drain(argument, false, invocation.noteId())
                        .map(next -> printRevision("undrained in revision ", next));
            case REPORT_BURN -> BurnCommand.of(hosts, printer).run(invocation.out());
            case TEAMS -> Either.right(TeamsCommand.of(hosts, printer).run());
            case VERSION -> {
                printer.print("arbutusctl " + Version.RELEASE, Version.RELEASE);
                yield Either.right(ExitCode.DONE);
            }
        };
    }

    private ExitCode printRevision(String prefix, Configuration state) {
        printer.print(prefix + state.revision(), new Applied(state.revision(), state.noteId()));
        return ExitCode.DONE;
    }

    private ExitCode printLines(List<String> lines) {
        printer.print(String.join("\n", lines), lines);
        return ExitCode.DONE;
    }

    private ExitCode printNoteStatus(Optional<HistoryEntry> entry) {
        if (entry.isEmpty()) {
            printer.print("not applied, or longer ago than the history reaches", new Applied(0, ""));
            return ExitCode.REFUSED;
        }
        long revision = entry.get().revision();
        printer.print(
                "applied as revision " + revision,
                new Applied(revision, entry.get().noteId()));
        return ExitCode.DONE;
    }

    private Either<List<Failure>, ExitCode> show(Configuration state) {
        return Kind.ofField(invocation.argument())
                .map(kind -> Either.<List<Failure>, ExitCode>right(printItems(state, kind)))
                .orElseGet(() -> Either.left(
                        List.of(Failure.of(ErrorCode.USAGE, invocation.argument(), "no such kind of item"))));
    }

    private ExitCode printItems(Configuration state, Kind kind) {
        List<Entity> items = List.copyOf(state.table(kind).values());
        StringBuilder text = new StringBuilder();
        items.forEach(item -> text.append(item).append('\n'));
        printer.print(items.isEmpty() ? "none" : text.toString(), items);
        return ExitCode.DONE;
    }

    private ExitCode printStatuses(List<HostStatus> statuses) {
        TextTable table = TextTable.of("ADDRESS", "HOST", "STATE", "REVISION", "IN FLIGHT");
        for (HostStatus s : statuses) {
            table.row(s.address(), s.name(), s.state(), Long.toString(s.revision()), Long.toString(s.inFlight()));
        }
        printer.print(table.toString(), statuses);
        return statuses.stream().allMatch(HostStatus::responded) ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private Either<List<Failure>, ExitCode> awaitRevision(String argument) {
        if (!argument.matches("\\d{1,18}")) {
            return Either.left(List.of(Failure.of(ErrorCode.USAGE, argument, "expected a revision number")));
        }
        long revision = Long.parseLong(argument);
        long start = System.nanoTime();
        long limit = TimeUnit.SECONDS.toNanos(invocation.waitSeconds());
        while (System.nanoTime() - start < limit) {
            if (hosts.statuses().stream().allMatch(s -> s.responded() && s.revision() >= revision)) {
                double seconds = (System.nanoTime() - start) / 1e9;
                printer.print(String.format("in force on all hosts after %.2f s", seconds), seconds);
                return Either.right(ExitCode.DONE);
            }
            pause();
        }
        printStatuses(hosts.statuses());
        return Either.right(ExitCode.TIMEOUT);
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** JSON output of commands that result in a revision: the revision and the id of the note that produced it. */
    private record Applied(long revision, String noteId) {}
}
