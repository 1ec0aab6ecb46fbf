package org.arbutusfield.quota;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.state.HeldRegistration;
import org.arbutusfield.state.SettledEraCodec;
import org.arbutusfield.state.SteeringState;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.TimerService;

/**
 * Decides whether this host leads: whether its registration has existed for longest among those of all hosts.
 *
 * <p>Problem: at most one host may lead at any time, although hosts read the store late, are paused or cut off, and the
 * store may return from an older copy. It should cost hardly any calls beyond those made anyway.
 *
 * <p>Idea: every host already has an entry in the store under a lease that it renews, and the store numbers the entries
 * in the order of their creation. The oldest one leads. It needs to know only its own entry for certain; that no older
 * one exists never changes while its own exists.
 *
 * <p>Invariants: two hosts never lead at once. If both did, both entries would exist now, since each host leads only
 * until the end of its lease by its own clock, which is before the end by the store's. The younger host has read a
 * state that includes its own entry, so it has also read the older one, which existed before and exists still. A store
 * that returns from a copy loses entries before their leases end; a host leads in a new era, or after its start, only
 * when all leases of earlier eras must have ended. The first leader of an era writes that this is so, which spares
 * others the wait.
 *
 * <p>Limit: a call of an earlier era that is carried out late in a new one may meet an entry of the same revision and a
 * lease of the same number, and bind the entry to that lease. The host stops leading as soon as it has read that.
 *
 * <p>Example: entries of hosts a, b and c were created at revisions 7, 9 and 12; a leads. It is paused. When its lease
 * has ended the store removes its entry, b reads that, and leads. When a resumes it finds its lease ended, registers
 * again at revision 40, and is the youngest.
 *
 * <p>Runs on one event loop.
 */
public final class Leadership implements LeaderTerm {
    private static final Logger LOG = LogManager.getLogger(Leadership.class);

    /** Also the pause between tries to write. Longer than a change takes to come back to this host. */
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(2);

    private static final long NO_LEASE = 0;

    private final String self;
    private final Supplier<Optional<HeldRegistration>> registration;
    private final Duration leaseDuration;
    private final WatchableStore store;
    private final TimerService timer;
    private SteeringState state = SteeringState.empty();
    private long eraFirstSeenNanos;
    private Optional<Term> term = Optional.empty();

    private Leadership(
            String self,
            Supplier<Optional<HeldRegistration>> registration,
            Duration leaseDuration,
            WatchableStore store,
            TimerService timer) {
        this.self = self;
        this.registration = registration;
        this.leaseDuration = leaseDuration;
        this.store = store;
        this.timer = timer;
    }

    /**
     * Starts the leadership of a host that has read nothing yet.
     *
     * @param self name of this host
     * @param registration supplies the registration that this host certainly has now
     * @param leaseDuration duration of the leases of all hosts' registrations
     * @param store keeps the settled era
     * @param timer clock and scheduler
     */
    public static Leadership start(
            String self,
            Supplier<Optional<HeldRegistration>> registration,
            Duration leaseDuration,
            WatchableStore store,
            TimerService timer) {
        Leadership leadership = new Leadership(self, registration, leaseDuration, store, timer);
        timer.every(CHECK_PERIOD, leadership::check);
        return leadership;
    }

    /** Takes a new state of the store into account. */
    public void stateChanged(SteeringState next) {
        boolean first = state.revision().equals(StoreRevision.NONE);
        if (first || next.revision().isOfLaterEra(state.revision())) {
            eraFirstSeenNanos = timer.nowNanos();
        }
        state = next;
    }

    @Override
    public OptionalLong startNanos() {
        Optional<HeldRegistration> held = registration.get().filter(this::leadsWith);
        if (held.isEmpty()) {
            endTerm();
            return OptionalLong.empty();
        }
        StoreLease lease = held.get().lease();
        if (term.isEmpty() || !term.get().lease().equals(lease)) {
            startTerm(lease);
        }
        return OptionalLong.of(term.get().startNanos());
    }

    private boolean leadsWith(HeldRegistration held) {
        boolean oldest = state.leader()
                .host()
                .filter(host -> host.entry().name().equals(self))
                // Otherwise a call of an earlier era, carried out late, has bound the entry to another lease.
                .filter(host -> host.revision() == held.revision().number())
                .isPresent();
        return oldest && earlierLeasesEnded() && state.revision().includes(held.revision());
    }

    private boolean earlierLeasesEnded() {
        return eraIsSettled() || timer.nowNanos() - eraFirstSeenNanos >= leaseDuration.toNanos();
    }

    private boolean eraIsSettled() {
        long era = state.revision().era();
        return era != StoreRevision.UNKNOWN_ERA && state.leader().settledEra() == era;
    }

    /** Writes that the era is settled, once this host leads in it. */
    private void check() {
        long era = state.revision().era();
        if (startNanos().isEmpty() || era == StoreRevision.UNKNOWN_ERA || eraIsSettled()) {
            return;
        }
        store.put(SettledEraCodec.KEY, SettledEraCodec.encode(era), NO_LEASE)
                .whenComplete(Handled.by(done -> done.peekLeft(
                        failure -> LOG.warn("event=settled_era_not_written era={} code={}", era, failure.code()))));
    }

    private void startTerm(StoreLease lease) {
        term = Optional.of(new Term(lease, timer.nowNanos()));
        LOG.info("event=leader_term_started host={} lease={} era={}", self, lease.id(), lease.era());
    }

    private void endTerm() {
        term.ifPresent(ended -> LOG.info(
                "event=leader_term_ended host={} lease={} era={}",
                self,
                ended.lease().id(),
                ended.lease().era()));
        term = Optional.empty();
    }

    /** A time of leading under one lease, and its start. */
    private record Term(StoreLease lease, long startNanos) {}
}
