package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.follow.HostEntry;
import org.arbutusfield.follow.HostEntryCodec;
import org.arbutusfield.follow.SteeringState;
import org.arbutusfield.follow.StoreHealth;
import org.arbutusfield.store.WatchedStore;
import org.arbutusfield.timer.TimerService;

/**
 * Keeps this host's entry in the store alive under a lease, so that other hosts name it to callers, and takes it back
 * when the host leaves.
 *
 * <p>The entry is written again when the store has dropped it, which the host sees in the state that it follows.
 */
final class HostRegistrar {
    private static final Logger LOG = LogManager.getLogger(HostRegistrar.class);
    private static final Duration LEASE = Duration.ofMillis(4500);
    private static final Duration RENEWAL = Duration.ofMillis(1400);
    private static final Duration RETRY = Duration.ofMillis(500);

    private final WatchedStore store;
    private final TimerService timer;
    private final HostEntry self;
    private final StoreHealth health;
    private long lease;
    private long registeredRevision;
    private boolean registered;
    private boolean busy;
    private boolean leaving;

    private HostRegistrar(WatchedStore store, TimerService timer, HostEntry self, StoreHealth health) {
        this.store = store;
        this.timer = timer;
        this.self = self;
        this.health = health;
    }

    /** Starts to register the host; everything runs on the timer's thread. */
    static HostRegistrar start(WatchedStore store, TimerService timer, HostEntry self, StoreHealth health) {
        HostRegistrar registrar = new HostRegistrar(store, timer, self, health);
        timer.after(Duration.ZERO, registrar::register);
        return registrar;
    }

    /** Writes the entry again if it is gone from the store. */
    void stateChanged(SteeringState state) {
        boolean present = state.hosts().stream().anyMatch(host -> host.name().equals(self.name()));
        boolean told = state.revision() >= registeredRevision;
        if (registered && told && !present && !busy && !leaving) {
            registered = false;
            LOG.warn("event=registration_lost host={} revision={}", self.name(), state.revision());
            register();
        }
    }

    /** Takes the entry back for good. */
    void leave() {
        leaving = true;
        if (lease != 0) {
            store.endLease(lease)
                    .thenAccept(done ->
                            done.peekLeft(failure -> LOG.warn("event=deregistration_failed code={}", failure.code())));
        }
    }

    private void register() {
        if (leaving || busy) {
            return;
        }
        busy = true;
        store.grantLease(LEASE).thenAccept(granted -> granted.peek(this::write).peekLeft(this::failed));
    }

    private void write(long granted) {
        lease = granted;
        if (leaving) {
            leave();
            return;
        }
        store.put(HostEntryCodec.key(self.name()), HostEntryCodec.encode(self), granted)
                .thenAccept(done -> done.peek(this::written).peekLeft(this::failed));
    }

    private void written(long revision) {
        health.answered();
        busy = false;
        registered = true;
        registeredRevision = revision;
        LOG.info("event=registered host={} lease={} revision={}", self.name(), lease, revision);
        timer.after(RENEWAL, () -> renew(lease));
    }

    private void failed(Failure failure) {
        busy = false;
        LOG.warn("event=registration_failed host={} code={}", self.name(), failure.code());
        timer.after(RETRY, this::register);
    }

    private void renew(long of) {
        if (!leaving && of == lease && registered) {
            store.renewLease(of).thenAccept(answer -> renewed(of, answer));
        }
    }

    private void renewed(long of, Either<Failure, Long> answer) {
        if (leaving || of != lease) {
            return;
        }
        if (answer.isLeft() && answer.getLeft().code() == ErrorCode.LEASE_LAPSED) {
            health.answered();
            registered = false;
            register();
            return;
        }
        if (answer.isRight()) {
            health.answered();
        } else {
            health.failed();
        }
        timer.after(answer.isRight() ? RENEWAL : RETRY, () -> renew(of));
    }
}
