package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.Failure;

/**
 * Runs an edge host as a process: reads its settings, reloads them when they change, and stops the host on a signal.
 */
public final class EdgeProcess {
    /** Exit code after a graceful stop. */
    public static final int EXIT_STOPPED = 0;
    /** Exit code when the host could not start, or can't go on. */
    public static final int EXIT_FAILED = 1;
    /** Exit code when the settings are invalid. */
    public static final int EXIT_SETTINGS = 2;

    private static final Logger LOG = LogManager.getLogger(EdgeProcess.class);
    private static final String RELOAD_SIGNAL = "HUP";
    private static final Duration SETTINGS_CHECK_INTERVAL = Duration.ofSeconds(2);

    private EdgeProcess() {}

    /**
     * Runs a host until it is stopped. The settings are read again on SIGHUP and when their file changes.
     *
     * @param file the settings file
     * @param reader reads and checks the file
     * @param starter starts the host
     * @return the exit code
     */
    public static int run(
            Path file,
            Function<Path, Either<List<Failure>, EdgeSettings>> reader,
            Function<EdgeSettings, Either<Failure, EdgeHost>> starter)
            throws InterruptedException {
        CompletableFuture<EdgeHost> running = new CompletableFuture<>();
        AtomicReference<Runnable> onReload = new AtomicReference<>(() -> {});
        handleSignals(running, onReload);
        Either<List<Failure>, EdgeSettings> settings = reader.apply(file);
        if (settings.isLeft()) {
            logStartFailures(settings.getLeft());
            running.cancel(false);
            return EXIT_SETTINGS;
        }
        Either<Failure, EdgeHost> host = starter.apply(settings.get());
        if (host.isLeft()) {
            logStartFailures(List.of(host.getLeft()));
            running.cancel(false);
            return EXIT_FAILED;
        }
        running.complete(host.get());
        SettingsReloader reloader = SettingsReloader.of(file, reader, settings.get(), host.get()::reload);
        onReload.set(reloader::reload);
        host.get().timer().every(SETTINGS_CHECK_INTERVAL, reloader::reloadIfChanged);
        if (!host.get().awaitStop()) {
            endAtOnce();
        }
        return EXIT_STOPPED;
    }

    /** Ends the process without a graceful stop, which would wait for the event loop. The platform starts it again. */
    private static void endAtOnce() {
        try {
            LOG.fatal("event=event_loop_ended");
            LogManager.shutdown();
        } finally {
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
    }

    /**
     * Installs the signal handlers. Runs before everything else, because the default action of these signals ends the
     * process, and they may arrive while the host starts.
     */
    private static void handleSignals(CompletableFuture<EdgeHost> running, AtomicReference<Runnable> onReload) {
        SignalHandlers.on(RELOAD_SIGNAL, () -> onReload.get().run());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running), "graceful-stop"));
        LOG.info("event=process_started pid={}", ProcessHandle.current().pid());
    }

    /** Logs each failure. */
    public static void logStartFailures(List<Failure> failures) {
        failures.forEach(
                f -> LOG.error("event=start_failed code={} subject={} detail={}", f.code(), f.subject(), f.detail()));
    }

    /**
     * Stops the host gracefully and ends the process with status 0; a plain return would let the runtime report the
     * signal as the exit status. A host that is still starting is stopped once it runs.
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
