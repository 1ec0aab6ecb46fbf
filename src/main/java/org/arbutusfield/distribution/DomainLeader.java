package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.Lease;
import org.arbutusfield.store.Store;
import org.arbutusfield.timer.TimerService;

/**
 * Holds the lease of a failure domain where this host can get it. The holder alone watches the store and writes to it
 * for the domain, so that the store's load grows with failure domains and not with hosts.
 *
 * <p>The lease is checked when it is used, by {@link #fencingToken()}, not when it was granted: a holder that was
 * paused finds that its term is over by its own clock, before it asks anyone. A write that was checked just before a
 * pause is fenced by the token.
 *
 * <p>Only candidates, the few first hosts of the domain in an order that all agree on, ask for the lease.
 */
public final class DomainLeader implements AutoCloseable {
    /** How many hosts of a domain ask for a lease that they don't hold. */
    public static final int CANDIDATES = 2;

    private static final Logger LOG = LogManager.getLogger(DomainLeader.class);
    private static final String KEY_PREFIX = "arbutusfield/leader/";

    private final Store store;
    private final String key;
    private final String holder;
    private final LeaderSettings settings;
    private final TimerService timer;
    private final BooleanSupplier candidate;
    private final TimerService.ScheduledTask renewals;
    private Optional<LeaseTerm> term = Optional.empty();
    private boolean asking;
    private long askedNanos;
    private boolean closed;

    private DomainLeader(
            Store store,
            String failureDomain,
            String holder,
            LeaderSettings settings,
            TimerService timer,
            BooleanSupplier candidate) {
        this.store = store;
        this.key = KEY_PREFIX + failureDomain;
        this.holder = holder;
        this.settings = settings;
        this.timer = timer;
        this.candidate = candidate;
        this.renewals = timer.every(settings.renewal(), this::renew);
    }

    /**
     * Starts to ask for the lease.
     *
     * @param store keeps the lease
     * @param failureDomain whose lease
     * @param holder name of this process, another for each incarnation
     * @param settings times of the lease
     * @param timer monotonic clock of all checks
     * @param candidate whether this host should ask for a lease that it doesn't hold
     */
    public static DomainLeader start(
            Store store,
            String failureDomain,
            String holder,
            LeaderSettings settings,
            TimerService timer,
            BooleanSupplier candidate) {
        return new DomainLeader(store, failureDomain, holder, settings, timer, candidate);
    }

    /**
     * The permission to act for the domain right now. Call it immediately before each use.
     *
     * @return the fencing token, or {@code LEASE_LAPSED}
     */
    public synchronized Either<Failure, Long> fencingToken() {
        if (term.isPresent() && term.get().validAt(timer.nowNanos())) {
            return Either.right(term.get().token());
        }
        return Either.left(Failure.of(ErrorCode.LEASE_LAPSED, key));
    }

    /** True while {@link #fencingToken()} grants. */
    public boolean holdsLease() {
        return fencingToken().isRight();
    }

    /** Gives the lease up, so that another host needn't wait for its end. */
    @Override
    public void close() {
        boolean held;
        synchronized (this) {
            closed = true;
            held = term.isPresent();
            term = Optional.empty();
        }
        renewals.cancel();
        if (held) {
            CompletableFuture<Either<Failure, Boolean>> unused = store.releaseLease(key, holder);
        }
    }

    private void renew() {
        long sentNanos = timer.nowNanos();
        synchronized (this) {
            boolean overdue = sentNanos - askedNanos >= settings.length().toNanos();
            boolean wanted = term.isPresent() || candidate.getAsBoolean();
            if (closed || !wanted || (asking && !overdue)) {
                return;
            }
            asking = true;
            askedNanos = sentNanos;
        }
        store.acquireLease(key, holder, settings.length()).thenAccept(answer -> answered(answer, sentNanos));
    }

    private void answered(Either<Failure, Lease> answer, long sentNanos) {
        boolean release;
        synchronized (this) {
            if (sentNanos == askedNanos) {
                asking = false;
            }
            release = closed && answer.isRight();
            if (!closed) {
                note(answer, sentNanos);
            }
        }
        if (release) {
            CompletableFuture<Either<Failure, Boolean>> unused = store.releaseLease(key, holder);
        }
    }

    private void note(Either<Failure, Lease> answer, long sentNanos) {
        if (answer.isRight()) {
            LeaseTerm granted = LeaseTerm.of(answer.get(), sentNanos, settings.margin());
            if (term.isEmpty()) {
                LOG.info("event=lease_acquired key={} holder={} token={}", key, holder, granted.token());
            }
            boolean later = term.isEmpty() || granted.endNanos() - term.get().endNanos() > 0;
            term = later ? Optional.of(granted) : term;
            return;
        }
        boolean lost = answer.getLeft().code() == ErrorCode.LEASE_HELD;
        boolean lapsed = term.isPresent() && !term.get().validAt(timer.nowNanos());
        if (term.isPresent() && (lost || lapsed)) {
            LOG.warn(
                    "event=lease_lost key={} holder={} code={}",
                    key,
                    holder,
                    answer.getLeft().code());
            term = Optional.empty();
        }
    }
}
