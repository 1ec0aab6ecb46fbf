package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.store.Lease;
import org.arbutusfield.store.Store;
import org.arbutusfield.timer.TimerService;

/**
 * Acquires and renews the lease of a failure domain. Only the holder watches the store and writes to it for the domain,
 * so that the load on the store grows with the number of failure domains and not with the number of hosts.
 *
 * <p>The lease is checked on each use, by {@link #fencingToken()}, and not only when it is granted: a holder that was
 * paused sees by its own clock that its term is over, without a call to the store. A write that was checked just before
 * a pause is fenced off by the token.
 *
 * <p>Only candidates request the lease: the first few hosts of the domain in an order on which all hosts agree.
 */
public final class DomainLeader implements AutoCloseable {
    /** Number of hosts of a domain that request a lease that they do not hold. */
    public static final int CANDIDATES = 2;

    private static final Logger LOG = LogManager.getLogger(DomainLeader.class);
    private static final String KEY_PREFIX = "arbutusfield/leader/";

    private final Store store;
    private final String key;
    private final String holder;
    private final LeaderSettings settings;
    private final TimerService timer;
    private final BooleanSupplier candidate;
    private final TimerService.ScheduledTask renewalTask;
    private Optional<LeaseTerm> term = Optional.empty();
    private boolean requestPending;
    private long requestedNanos;
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
        this.renewalTask = timer.every(settings.renewalInterval(), this::renew);
    }

    /**
     * Starts to request and renew the lease.
     *
     * @param store holds the lease
     * @param failureDomain failure domain of the lease
     * @param holder name of this process, different for each incarnation
     * @param settings durations of the lease
     * @param timer monotonic clock of all checks; schedules the renewals
     * @param candidate whether this host should request a lease that it does not hold
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
     * The fencing token of the lease, if this host may rely on the lease at this moment. Call it immediately before
     * each use.
     *
     * @return the fencing token, or {@code LEASE_LAPSED}
     */
    public synchronized Either<Failure, Long> fencingToken() {
        if (term.isPresent() && term.get().validAt(timer.nowNanos())) {
            return Either.right(term.get().token());
        }
        return Either.left(Failure.of(ErrorCode.LEASE_LAPSED, key));
    }

    /** Whether this host may rely on the lease at this moment. */
    public boolean holdsLease() {
        return fencingToken().isRight();
    }

    /** Releases the lease, so that another host need not wait until it expires. */
    @Override
    public void close() {
        boolean held;
        synchronized (this) {
            closed = true;
            held = term.isPresent();
            term = Optional.empty();
        }
        renewalTask.cancel();
        if (held) {
            CompletableFuture<Either<Failure, Boolean>> unused = store.releaseLease(key, holder);
        }
    }

    private void renew() {
        long sentNanos = timer.nowNanos();
        synchronized (this) {
            boolean overdue = sentNanos - requestedNanos >= settings.length().toNanos();
            boolean wanted = term.isPresent() || candidate.getAsBoolean();
            if (closed || !wanted || (requestPending && !overdue)) {
                return;
            }
            requestPending = true;
            requestedNanos = sentNanos;
        }
        store.acquireLease(key, holder, settings.length())
                .whenComplete(Handled.by(response -> onResponse(response, sentNanos)));
    }

    private void onResponse(Either<Failure, Lease> response, long sentNanos) {
        boolean release;
        synchronized (this) {
            if (sentNanos == requestedNanos) {
                requestPending = false;
            }
            release = closed && response.isRight();
            if (!closed) {
                applyResponse(response, sentNanos);
            }
        }
        if (release) {
            CompletableFuture<Either<Failure, Boolean>> unused = store.releaseLease(key, holder);
        }
    }

    private void applyResponse(Either<Failure, Lease> response, long sentNanos) {
        if (response.isRight()) {
            LeaseTerm granted = LeaseTerm.of(response.get(), sentNanos, settings.margin());
            if (term.isEmpty()) {
                LOG.info("event=lease_acquired key={} holder={} token={}", key, holder, granted.token());
            }
            boolean later = term.isEmpty() || granted.endNanos() - term.get().endNanos() > 0;
            term = later ? Optional.of(granted) : term;
            return;
        }
        boolean heldByOther = response.getLeft().code() == ErrorCode.LEASE_HELD;
        boolean expired = term.isPresent() && !term.get().validAt(timer.nowNanos());
        if (term.isPresent() && (heldByOther || expired)) {
            LOG.warn(
                    "event=lease_lost key={} holder={} code={}",
                    key,
                    holder,
                    response.getLeft().code());
            term = Optional.empty();
        }
    }
}
