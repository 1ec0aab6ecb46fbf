package org.arbutusfield.ctl;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * A parsed command line.
 *
 * @param command the command; empty to print the help text
 * @param argument argument of the command; empty when it takes none
 * @param store address of the store
 * @param hosts admin addresses of the entry hosts
 * @param waitSeconds maximum time that {@code note wait} waits, in seconds
 * @param noteId id of the note that {@code drain} or {@code undrain} applies
 * @param out file for the HTML form of a report
 * @param json whether to print JSON
 */
record Invocation(
        Optional<CtlCommand> command,
        String argument,
        Optional<InetSocketAddress> store,
        List<InetSocketAddress> hosts,
        int waitSeconds,
        Optional<String> noteId,
        Optional<String> out,
        boolean json) {

    private static final int DEFAULT_WAIT_SECONDS = 30;

    /** Parses a command line; fails with {@code USAGE}. */
    static Either<Failure, Invocation> parse(String... args) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(CtlOption.options(), args);
        } catch (ParseException e) {
            return Either.left(Failure.of(ErrorCode.USAGE, "", e.getMessage()));
        }
        List<String> words = line.getArgList();
        Optional<CtlCommand> command = CtlCommand.of(words);
        if (command.isEmpty() && !words.isEmpty()) {
            return Either.left(Failure.of(ErrorCode.USAGE, String.join(" ", words), "no such command"));
        }
        if (!line.getOptionValue(CtlOption.WAIT_SECONDS.longName(), "0").matches("\\d{1,5}")) {
            return Either.left(Failure.of(ErrorCode.USAGE, "--wait-seconds", "expected a whole number"));
        }
        return addresses(line, CtlOption.STORE)
                .flatMap(store -> addresses(line, CtlOption.HOSTS).map(hosts -> of(line, command, store, hosts)));
    }

    private static Invocation of(
            CommandLine line,
            Optional<CtlCommand> command,
            List<InetSocketAddress> store,
            List<InetSocketAddress> hosts) {
        boolean help = line.hasOption(CtlOption.HELP.longName());
        String wait = line.getOptionValue(CtlOption.WAIT_SECONDS.longName(), Integer.toString(DEFAULT_WAIT_SECONDS));
        List<String> words = line.getArgList();
        return new Invocation(
                help ? Optional.empty() : command,
                words.isEmpty() ? "" : words.get(words.size() - 1),
                store.stream().findFirst(),
                hosts,
                Integer.parseInt(wait),
                Optional.ofNullable(line.getOptionValue(CtlOption.NOTE_ID.longName())),
                Optional.ofNullable(line.getOptionValue(CtlOption.OUT.longName())),
                line.hasOption(CtlOption.JSON.longName()));
    }

    private static Either<Failure, List<InetSocketAddress>> addresses(CommandLine line, CtlOption option) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        String text = line.getOptionValue(option.longName(), "");
        for (String part : text.isEmpty() ? new String[0] : text.split(",")) {
            if (!part.matches("[0-9.]{7,15}:\\d{1,5}")) {
                return Either.left(
                        Failure.of(ErrorCode.USAGE, "--" + option.longName(), "expected IP:PORT, got " + part));
            }
            int colon = part.indexOf(':');
            addresses.add(new InetSocketAddress(part.substring(0, colon), Integer.parseInt(part.substring(colon + 1))));
        }
        return Either.right(addresses);
    }
}
