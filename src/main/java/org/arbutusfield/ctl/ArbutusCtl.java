package org.arbutusfield.ctl;

import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpCaller;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.note.NoteReader;
import org.arbutusfield.store.HttpStore;

/** The program {@code arbutusctl}. Exit codes: 0 done, 1 refused or failed, 2 usage. */
public final class ArbutusCtl {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

    private ArbutusCtl() {}

    /** Runs the program: {@code --store ADDRESS:PORT note apply FILE}. */
    public static void main(String[] args) throws IOException {
        Options options = new Options().addRequiredOption(null, "store", true, "the store's address:port");
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            System.exit(report(List.of(Failure.of(ErrorCode.USAGE, "", e.getMessage())), 2));
            return;
        }
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        String[] store = line.getOptionValue("store").split(":", 2);
        ConfigurationRepository repository = ConfigurationRepository.of(HttpStore.create(
                HttpCaller.create(group, CONNECT_TIMEOUT),
                new InetSocketAddress(store[0], Integer.parseInt(store[1])),
                STORE_TIMEOUT));
        int exit = applyNote(repository, Path.of(line.getArgList().get(2)));
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        System.exit(exit);
    }

    private static int applyNote(ConfigurationRepository repository, Path file) throws IOException {
        Either<List<Failure>, Configuration> result = NoteReader.read(Files.readAllBytes(file))
                .flatMap(note -> repository.apply(note).join());
        if (result.isLeft()) {
            return report(result.getLeft(), 1);
        }
        System.out.println("applied as revision " + result.get().revision());
        return 0;
    }

    private static int report(List<Failure> failures, int exit) {
        failures.forEach(f -> System.err.println(
                f.code() + " " + f.subject() + ": " + f.code().message() + " " + f.detail()));
        return exit;
    }
}
