package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;

/** Runs an edge host as a process: reads its settings, follows their changes, stops it on a signal. */
public final class EdgeRunner {
    /** Exit code of a process that was stopped. */
    public static final int EXIT_STOPPED = 0;
    /** Exit code of a process that could not start. */
    public static final int EXIT_FAILED = 1;
    /** Exit code of a process with bad settings. */
    public static final int EXIT_SETTINGS = 2;

    private static final Logger LOG = LogManager.getLogger(EdgeRunner.class);
    private static final String RELOAD_SIGNAL = "HUP";

    private EdgeRunner() {}

    /**
     * Runs a host until it is stopped.
     *
     * @param reader reads the settings anew each time
     * @param starter starts the host
     * @return the exit code
     */
    public static int run(
            Supplier<Either<List<Failure>, EdgeSettings>> reader,
            Function<EdgeSettings, Either<Failure, EdgeHost>> starter)
            throws InterruptedException {
        Either<List<Failure>, EdgeSettings> settings = reader.get();
        if (settings.isLeft()) {
            complain(settings.getLeft());
            return EXIT_SETTINGS;
        }
        CompletableFuture<EdgeHost> running = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running), "graceful-stop"));
        Either<Failure, EdgeHost> host = starter.apply(settings.get());
        if (host.isLeft()) {
            complain(List.of(host.getLeft()));
            running.cancel(false);
            return EXIT_FAILED;
        }
        running.complete(host.get());
        AtomicReference<EdgeSettings> current = new AtomicReference<>(settings.get());
        Signals.on(RELOAD_SIGNAL, () -> reload(reader, host.get(), current));
        host.get().awaitStop();
        return EXIT_STOPPED;
    }

    /** Logs each failure. */
    public static void complain(List<Failure> failures) {
        failures.forEach(
                f -> LOG.error("event=start_failed code={} subject={} detail={}", f.code(), f.subject(), f.detail()));
    }

    private static void reload(
            Supplier<Either<List<Failure>, EdgeSettings>> reader,
            EdgeHost host,
            AtomicReference<EdgeSettings> current) {
        Either<List<Failure>, EdgeSettings> read = reader.get();
        if (read.isLeft()) {
            read.getLeft()
                    .forEach(f -> LOG.error(
                            "event=reload_failed code={} subject={} detail={}", f.code(), f.subject(), f.detail()));
            return;
        }
        if (!read.get().equals(current.getAndSet(read.get()))) {
            host.reload(read.get());
        }
    }

    /**
     * Ends the process with status 0 after a graceful stop, where the runtime would report the signal instead. A host
     * that is still starting is stopped once it runs.
     */
    private static void stop(CompletableFuture<EdgeHost> running) {
        Optional<EdgeHost> host = running.handle((started, failure) -> Optional.ofNullable(started))
                .join();
        if (host.isEmpty()) {
            return;
        }
        host.get().stopGracefully();
        LogManager.shutdown();
        Runtime.getRuntime().halt(EXIT_STOPPED);
    }
}
