package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.HostEntryCodec;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;

/**
 * Registers this host in the store under a lease, so that other hosts return it in look-ups, and deregisters it when it
 * stops.
 *
 * <p>When the store has dropped the entry, which the host sees in its copy of the state, the entry is written again.
 */
final class HostRegistrar {
    private static final Logger LOG = LogManager.getLogger(HostRegistrar.class);
    private static final Duration LEASE_DURATION = Duration.ofMillis(4500);
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1400);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final WatchableStore store;
    private final TimerService timer;
    private final HostEntry self;
    private final StoreHealth health;
    private long lease;
    private long registeredRevision;
    private boolean registered;
    private boolean registering;
    private boolean leaving;

    private HostRegistrar(WatchableStore store, TimerService timer, HostEntry self, StoreHealth health) {
        this.store = store;
        this.timer = timer;
        this.self = self;
        this.health = health;
    }

    /** Starts the registration; everything runs on the timer's thread. */
    static HostRegistrar start(WatchableStore store, TimerService timer, HostEntry self, StoreHealth health) {
        HostRegistrar registrar = new HostRegistrar(store, timer, self, health);
        timer.after(Duration.ZERO, registrar::register);
        return registrar;
    }

    /** Writes the entry again if the store no longer has it. */
    void stateChanged(SteeringState state) {
        boolean present = state.hosts().stream().anyMatch(host -> host.name().equals(self.name()));
        boolean upToDate = state.revision() >= registeredRevision;
        if (registered && upToDate && !present && !registering && !leaving) {
            registered = false;
            LOG.warn("event=registration_lost host={} revision={}", self.name(), state.revision());
            register();
        }
    }

    /** Removes the entry permanently. */
    void leave() {
        leaving = true;
        if (lease != 0) {
            store.endLease(lease)
                    .thenAccept(done ->
                            done.peekLeft(failure -> LOG.warn("event=deregistration_failed code={}", failure.code())));
        }
    }

    private void register() {
        if (leaving || registering) {
            return;
        }
        registering = true;
        store.grantLease(LEASE_DURATION)
                .thenAccept(grantedLease -> grantedLease.peek(this::write).peekLeft(this::onFailure));
    }

    private void write(long grantedLease) {
        lease = grantedLease;
        if (leaving) {
            leave();
            return;
        }
        store.put(HostEntryCodec.key(self.name()), HostEntryCodec.encode(self), grantedLease)
                .thenAccept(done -> done.peek(this::onWritten).peekLeft(this::onFailure));
    }

    private void onWritten(long revision) {
        health.recordAnswer();
        registering = false;
        registered = true;
        registeredRevision = revision;
        LOG.info("event=registered host={} lease={} revision={}", self.name(), lease, revision);
        timer.after(RENEWAL_INTERVAL, () -> renew(lease));
    }

    private void onFailure(Failure failure) {
        registering = false;
        LOG.warn("event=registration_failed host={} code={}", self.name(), failure.code());
        timer.after(RETRY_DELAY, this::register);
    }

    private void renew(long leaseId) {
        if (!leaving && leaseId == lease && registered) {
            store.renewLease(leaseId).thenAccept(result -> onRenewed(leaseId, result));
        }
    }

    private void onRenewed(long leaseId, Either<Failure, Long> result) {
        if (leaving || leaseId != lease) {
            return;
        }
        if (result.isLeft() && result.getLeft().code() == ErrorCode.LEASE_LAPSED) {
            health.recordAnswer();
            registered = false;
            register();
            return;
        }
        if (result.isRight()) {
            health.recordAnswer();
        } else {
            health.recordFailure();
        }
        timer.after(result.isRight() ? RENEWAL_INTERVAL : RETRY_DELAY, () -> renew(leaseId));
    }
}
