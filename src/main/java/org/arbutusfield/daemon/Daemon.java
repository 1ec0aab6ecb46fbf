package org.arbutusfield.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.http.HttpAnswer;
import org.arbutusfield.http.HttpCall;
import org.arbutusfield.http.HttpCaller;
import org.arbutusfield.http.HttpListener;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.proxy.EntryServer;
import org.arbutusfield.settings.HostSettings;
import org.arbutusfield.store.HttpStore;
import org.arbutusfield.timer.SystemTimer;

/** One running entry host. */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Daemon.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CONFIGURATION_POLL = Duration.ofMillis(500);
    private static final int ADMIN_BODY_BYTES = 1 << 20;

    private final HostSettings settings;
    private final SystemTimer timer = SystemTimer.start();
    private final EventLoopGroup group = new NioEventLoopGroup();
    private final AtomicReference<Configuration> running = new AtomicReference<>(Configuration.empty());
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean leaving;
    private EntryServer entry;
    private HttpListener admin;

    private Daemon(HostSettings settings) {
        this.settings = settings;
    }

    /** Starts a host: configuration, callers' port, admin port. */
    public static Either<Failure, Daemon> start(HostSettings settings) {
        Daemon daemon = new Daemon(settings);
        Either<Failure, Daemon> started =
                daemon.followConfiguration().flatMap(Daemon::openCallerPort).flatMap(Daemon::openAdminPort);
        if (started.isLeft()) {
            daemon.close();
            return started;
        }
        LOG.info("event=host_started host={} region={}", settings.name(), settings.region());
        return started;
    }

    /** Leaves look-ups, lets running requests finish, then closes. */
    public void stopGracefully(Duration limit) {
        leaving = true;
        entry.leave();
        int unfinished = entry.drain(limit).join();
        LOG.info("event=host_stopped host={} unfinished={}", settings.name(), unfinished);
        close();
    }

    /** Waits until the host is closed. */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    @Override
    public void close() {
        if (admin != null) {
            admin.close();
        }
        if (entry != null) {
            entry.close();
        }
        timer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        stopped.countDown();
    }

    private Either<Failure, Daemon> followConfiguration() {
        HttpStore store = HttpStore.create(
                HttpCaller.create(group, CONNECT_TIMEOUT), settings.storeAddress(), settings.storeTimeout());
        ConfigurationRepository repository = ConfigurationRepository.of(store);
        timer.every(CONFIGURATION_POLL, () -> repository.latest().thenAccept(r -> r.peek(this::install)));
        return Either.right(this);
    }

    private void install(Configuration next) {
        Configuration before = running.getAndUpdate(current -> next.revision() > current.revision() ? next : current);
        if (next.revision() > before.revision()) {
            LOG.info("event=revision_installed host={} revision={}", settings.name(), next.revision());
        }
    }

    private Either<Failure, Daemon> openCallerPort() {
        return EntryServer.bind(group, settings.callerAddress(), settings.region(), running::get)
                .map(server -> {
                    entry = server;
                    return this;
                });
    }

    private Either<Failure, Daemon> openAdminPort() {
        return HttpListener.bind(group, settings.adminAddress(), ADMIN_BODY_BYTES, this::answerAdmin)
                .map(listener -> {
                    admin = listener;
                    return this;
                });
    }

    private CompletableFuture<HttpAnswer> answerAdmin(HttpCall call) {
        return CompletableFuture.completedFuture(
                switch (call.path()) {
                    case "/live" -> HttpAnswer.text(200, "live\n");
                    case "/ready" -> readiness();
                    case "/status" -> HttpAnswer.json(200, status());
                    default -> HttpAnswer.problem(Failure.of(ErrorCode.PATH_UNKNOWN, call.path()));
                });
    }

    private HttpAnswer readiness() {
        if (leaving) {
            return HttpAnswer.problem(Failure.of(ErrorCode.HOST_LEAVING));
        }
        if (running.get().revision() == 0) {
            return HttpAnswer.problem(Failure.of(ErrorCode.NO_CONFIGURATION));
        }
        return HttpAnswer.text(200, "ready\n");
    }

    private String status() {
        return String.format(
                "{\"host\":\"%s\",\"state\":\"%s\",\"revision\":%d,\"inFlight\":%d}",
                settings.name(), leaving ? "leaving" : "serving", running.get().revision(), entry.inFlight());
    }
}
