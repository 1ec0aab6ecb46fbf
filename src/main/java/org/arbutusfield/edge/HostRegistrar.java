package org.arbutusfield.edge;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.state.HeldRegistration;
import org.arbutusfield.state.HostEntry;
import org.arbutusfield.state.HostEntryCodec;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.state.StoreHealth;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;

/**
 * Registers this host in the store under a lease, so that other hosts return it in look-ups, and deregisters it when it
 * stops.
 *
 * <p>When the store has dropped the entry, which the host sees in its copy of the state, the entry is written again. In
 * a new era of the store the entry is written under a new lease, and the old lease is neither renewed nor ended, since
 * its id may belong to another host by then.
 *
 * <p>Each write expects the entry as this host knows it. A write without an answer that the store carries out late
 * would otherwise bind the entry to a lease that is no longer renewed.
 */
final class HostRegistrar {
    private static final Logger LOG = LogManager.getLogger(HostRegistrar.class);
    /** Duration of the lease that the entry of each host is bound to. */
    static final Duration LEASE_DURATION = Duration.ofMillis(4500);
    /** Covers that clocks run at slightly different rates. */
    private static final Duration LEASE_MARGIN = Duration.ofMillis(250);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1400);
    /** Each change is read by all hosts. */
    private static final Duration REACH_CHANGE_DELAY = Duration.ofMillis(600);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final WatchableStore store;
    private final TimerService timer;
    private HostEntry self;
    private final StoreHealth health;
    private Optional<StoreLease> lease = Optional.empty();
    private long leaseEndNanos;
    /** Revision of the entry, as far as this host knows; 0 if there is none. */
    private long entryRevision;

    private StoreRevision registeredRevision = StoreRevision.NONE;
    private boolean wantedReach = true;
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

    /** Returns the registration, if this host certainly has one now. */
    Optional<HeldRegistration> held() {
        boolean certain = registered && !leaving && leaseEndNanos - timer.nowNanos() > 0;
        return certain ? lease.map(held -> new HeldRegistration(held, registeredRevision)) : Optional.empty();
    }

    /** Writes the entry again if the store no longer has it. */
    void stateChanged(SteeringState state) {
        if (!registered || registering || leaving) {
            return;
        }
        if (state.revision().isOfLaterEra(registeredRevision)) {
            registrationLost("store_era_changed", state.revision());
            return;
        }
        boolean present = state.hosts().stream().anyMatch(host -> host.name().equals(self.name()));
        if (!present && state.revision().includes(registeredRevision)) {
            registrationLost("entry_missing", state.revision());
        }
    }

    /** Tells other hosts whether this one reaches upstreams, unless that changes again soon. */
    void setReachesUpstreams(boolean reaches) {
        wantedReach = reaches;
        timer.after(REACH_CHANGE_DELAY, this::applyReach);
    }

    private void applyReach() {
        boolean reaches = wantedReach;
        if (self.reachesUpstreams() == reaches) {
            return;
        }
        self = self.withReachesUpstreams(reaches);
        LOG.info("event=registration_changed host={} reaches_upstreams={}", self.name(), reaches);
        if (registered && !registering && !leaving) {
            lease.ifPresent(this::writeAgain);
        }
    }

    /** Writes a changed entry under the lease that is held. */
    private void writeAgain(StoreLease held) {
        HostEntry written = self;
        Handled.started(() -> putEntry(written, held))
                .whenComplete(Handled.by(
                        done -> done.peek(revision -> onWrittenAgain(held, revision))
                                .peekLeft(failure -> onNotWrittenAgain(held, written, failure)),
                        error -> onNotWrittenAgain(held, written, brokeOff(error))));
    }

    private void onWrittenAgain(StoreLease held, StoreRevision revision) {
        if (registered && isHeld(held)) {
            registeredRevision = revision;
        }
    }

    private void onNotWrittenAgain(StoreLease held, HostEntry written, Failure failure) {
        LOG.warn("event=registration_not_changed host={} code={}", self.name(), failure.code());
        timer.after(RETRY_DELAY, () -> {
            if (registered && isHeld(held) && self.equals(written)) {
                writeAgain(held);
            }
        });
    }

    /** Writes the entry in place of the one that this host knows or, if that has changed, of the one that is there. */
    private CompletableFuture<Either<Failure, StoreRevision>> putEntry(HostEntry entry, StoreLease under) {
        return putEntryIfUnchanged(entry, under)
                .thenCompose(result -> {
                    boolean conflict = result.isRight() && !result.get().written();
                    return conflict && isHeld(under)
                            ? putEntryIfUnchanged(entry, under)
                            : CompletableFuture.completedFuture(result);
                })
                .thenApply(result -> result.flatMap(HostRegistrar::revisionIfWritten));
    }

    private CompletableFuture<Either<Failure, ConditionalWrite>> putEntryIfUnchanged(
            HostEntry entry, StoreLease under) {
        return store.putIf(HostEntryCodec.key(entry.name()), HostEntryCodec.encode(entry), under.id(), entryRevision)
                .thenApply(result ->
                        result.peek(write -> entryRevision = write.revision().number()));
    }

    private static Either<Failure, StoreRevision> revisionIfWritten(ConditionalWrite write) {
        return write.written() ? Either.right(write.revision()) : Either.left(Failure.of(ErrorCode.STORE_CONFLICT));
    }

    /** Removes the entry permanently. */
    void leave() {
        leaving = true;
        lease.ifPresent(held -> store.endLease(held.id())
                .whenComplete(Handled.by(done ->
                        done.peekLeft(failure -> LOG.warn("event=deregistration_failed code={}", failure.code())))));
    }

    private void registrationLost(String reason, StoreRevision revision) {
        registered = false;
        lease = Optional.empty();
        LOG.warn(
                "event=registration_lost host={} reason={} era={} revision={}",
                self.name(),
                reason,
                revision.era(),
                revision.number());
        register();
    }

    private void register() {
        if (leaving || registering) {
            return;
        }
        registering = true;
        long calledNanos = timer.nowNanos();
        Handled.started(() -> store.grantLease(LEASE_DURATION))
                .whenComplete(Handled.by(
                        granted ->
                                granted.peek(lease -> write(lease, calledNanos)).peekLeft(this::onFailure),
                        error -> onFailure(brokeOff(error))));
    }

    private void write(StoreLease grantedLease, long calledNanos) {
        lease = Optional.of(grantedLease);
        leaseEndNanos = leaseEnd(calledNanos);
        if (leaving) {
            leave();
            return;
        }
        HostEntry written = self;
        Handled.started(() -> putEntry(written, grantedLease))
                .whenComplete(Handled.by(
                        done -> done.peek(revision -> onWritten(grantedLease, written, revision))
                                .peekLeft(this::onFailure),
                        error -> onFailure(brokeOff(error))));
    }

    /** Returns the end of a lease that the store granted or renewed in answer to a call. */
    private static long leaseEnd(long calledNanos) {
        return calledNanos + LEASE_DURATION.minus(LEASE_MARGIN).toNanos();
    }

    private void onWritten(StoreLease usedLease, HostEntry written, StoreRevision revision) {
        health.recordAnswer();
        health.recordEra(revision.era());
        registering = false;
        if (StoreRevision.isLaterEra(revision.era(), usedLease.era())) {
            registrationLost("store_era_changed", revision);
            return;
        }
        registered = true;
        registeredRevision = revision;
        LOG.info(
                "event=registered host={} lease={} era={} revision={}",
                self.name(),
                usedLease.id(),
                revision.era(),
                revision.number());
        timer.after(RENEWAL_INTERVAL, () -> renew(usedLease));
        if (!self.equals(written)) {
            writeAgain(usedLease);
        }
    }

    private void onFailure(Failure failure) {
        registering = false;
        LOG.warn("event=registration_failed host={} code={}", self.name(), failure.code());
        timer.after(RETRY_DELAY, this::register);
    }

    private void renew(StoreLease held) {
        if (!leaving && registered && isHeld(held)) {
            long calledNanos = timer.nowNanos();
            Handled.started(() -> store.renewLease(held.id()))
                    .whenComplete(Handled.by(
                            result -> onRenewed(held, calledNanos, result),
                            error -> onRenewed(held, calledNanos, Either.left(brokeOff(error)))));
        }
    }

    /** Returns the failure of a call that ended with an error, after which the host goes on as after any failure. */
    private static Failure brokeOff(Throwable error) {
        return Failure.of(ErrorCode.STORE_PROTOCOL, "", error.toString());
    }

    private boolean isHeld(StoreLease other) {
        return lease.isPresent() && lease.get().equals(other);
    }

    private void onRenewed(StoreLease held, long calledNanos, Either<Failure, Long> result) {
        if (leaving || !registered || !isHeld(held)) {
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
            health.recordEra(result.get());
            if (StoreRevision.isLaterEra(result.get(), held.era())) {
                registrationLost("store_era_changed", StoreRevision.of(result.get(), 0));
                return;
            }
            leaseEndNanos = leaseEnd(calledNanos);
        } else {
            health.recordFailure();
        }
        timer.after(result.isRight() ? RENEWAL_INTERVAL : RETRY_DELAY, () -> renew(held));
    }
}
