package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.member.Member;
import org.arbutusfield.member.MembershipService;
import org.arbutusfield.member.RevisionAnnouncement;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Installs every accepted configuration on this host and distributes it to other hosts.
 *
 * <p>Problem: an accepted configuration must be in force on thousands of hosts within seconds, even while the store is
 * down, and the load on the store must be bounded. No host may return to an older revision, whatever a restored store,
 * a slow peer or a host that resumes from a pause reports.
 *
 * <p>Idea: revisions are numbered, and {@link RunningRevision} alone decides what comes into force: only a newer
 * revision. Domain leaders watch the store. All other hosts learn of revisions from heartbeats, which carry (revision,
 * digest) and are sent at once when it changes, so that an announcement reaches every host within as many hops as the
 * diameter of the peer graph. The content is read from the peer that announced it, as a delta against the revision in
 * force if the peer still has that delta, and checked against the digest. Each host that has the content serves it to
 * others.
 *
 * <p>Rules: a leader that finds the store behind the revision in force has the store repaired. When one revision number
 * has two contents, which can happen after a store was restored and then written, a host asks the store, at most once
 * per {@code CONFLICT_INTERVAL}, and the store's content wins.
 *
 * <p>Example: host a accepts revision 8 by its compare-and-swap and offers it here. Its eight peers receive a heartbeat
 * with (8, digest) within milliseconds, read the delta from revision 7, install it and announce it to their own peers.
 * From the compare-and-swap on, the store may be down.
 */
public final class ConfigurationDistributor implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ConfigurationDistributor.class);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CONFLICT_INTERVAL = Duration.ofSeconds(10);

    private final RunningRevision running;
    private final DeltaHistory history = DeltaHistory.create();
    private final ConfigurationSource source;
    private final StoreRepair repair;
    private final DomainLeader leader;
    private final MembershipService membership;
    private final ControlTransport transport;
    private final TimerService timer;
    private final TimerService.ScheduledTask tickTask;
    private final Object lock = new Object();
    private PullPlan plan = PullPlan.idle();
    private Optional<RevisionId> storedRevisionId = Optional.empty();
    private boolean watching;
    private long watchStartedNanos;
    private long conflictCheckedNanos;

    private ConfigurationDistributor(
            RunningRevision running,
            ConfigurationSource source,
            StoreRepair repair,
            DomainLeader leader,
            MembershipService membership,
            ControlTransport transport,
            TimerService timer) {
        this.running = running;
        this.source = source;
        this.repair = repair;
        this.leader = leader;
        this.membership = membership;
        this.transport = transport;
        this.timer = timer;
        this.conflictCheckedNanos = timer.nowNanos() - CONFLICT_INTERVAL.toNanos();
        this.tickTask = timer.every(TICK_INTERVAL, this::tick);
    }

    /**
     * Starts to install and distribute configurations.
     *
     * @param running the configuration in force on this host; only this service changes it
     * @param source reads configurations from the store
     * @param repair repairs a store that is behind
     * @param leader tells whether this host holds the lease and so watches the store
     * @param membership carries the announcements
     * @param transport reads from peers
     * @param handlers registry for the handler of snapshot requests
     * @param timer schedules watches and retries
     */
    public static ConfigurationDistributor start(
            RunningRevision running,
            ConfigurationSource source,
            StoreRepair repair,
            DomainLeader leader,
            MembershipService membership,
            ControlTransport transport,
            ControlHandlers handlers,
            TimerService timer) {
        ConfigurationDistributor distributor =
                new ConfigurationDistributor(running, source, repair, leader, membership, transport, timer);
        SnapshotServer server = new SnapshotServer(running, distributor.history);
        handlers.register(
                ControlMessage._Fields.SNAPSHOT_REQUEST,
                message -> CompletableFuture.completedFuture(server.handle(message.getSnapshotRequest())));
        membership.addAnnouncementListener(distributor::onAnnouncement);
        return distributor;
    }

    /**
     * Installs a configuration that the store accepted at this host's request, and announces it at once.
     *
     * @return as {@link RunningRevision#install}
     */
    public Either<Failure, Boolean> offer(Snapshot accepted) {
        return install(accepted, Origin.STORE, Optional.empty());
    }

    /** Stops watching the store and reading from peers. */
    @Override
    public void close() {
        tickTask.cancel();
    }

    private void tick() {
        pull();
        if (leader.holdsLease()) {
            watch();
        }
    }

    private void onAnnouncement(Member peer, RevisionAnnouncement announcement) {
        RevisionId revisionId = RevisionId.of(announcement);
        RevisionAnnouncement own = running.announcement();
        if (revisionId.revision() == own.revision() && !revisionId.digest().equals(own.digest())) {
            resolveConflict(revisionId);
            return;
        }
        if (revisionId.revision() <= own.revision()) {
            return;
        }
        synchronized (lock) {
            plan = plan.announced(peer, revisionId, own.revision());
        }
        pull();
    }

    private void pull() {
        Optional<PullPlan.Holder> holder;
        synchronized (lock) {
            holder = plan.next(running.announcement().revision(), timer.nowNanos());
            if (holder.isPresent()) {
                plan = plan.started(holder.get(), timer.nowNanos());
            }
        }
        holder.ifPresent(chosen -> readFrom(chosen, false));
    }

    private void readFrom(PullPlan.Holder holder, boolean full) {
        Optional<Snapshot> current = running.current();
        SnapshotReader.start(transport, holder.peer().controlAddress(), current, holder.revisionId(), full)
                .whenComplete(Handled.by(result -> {
                    Either<Failure, Boolean> installed =
                            result.flatMap(received -> install(received.snapshot(), Origin.PEER, received.delta()));
                    boolean deltaFailed = !full && installed.isLeft() && isDamaged(installed.getLeft());
                    boolean behind = running.announcement().revision()
                            < holder.revisionId().revision();
                    if (behind && (installed.isRight() || deltaFailed)) {
                        readFrom(holder, deltaFailed);
                        return;
                    }
                    onReadFinished(holder, !behind, installed);
                }));
    }

    private static boolean isDamaged(Failure failure) {
        return failure.code() == ErrorCode.PEER_PROTOCOL || failure.code() == ErrorCode.STORE_CORRUPT;
    }

    private void onReadFinished(PullPlan.Holder holder, boolean succeeded, Either<Failure, Boolean> outcome) {
        if (!succeeded && outcome.isLeft()) {
            LOG.warn(
                    "event=revision_unread peer={} revision={} code={}",
                    holder.peer().name(),
                    holder.revisionId().revision(),
                    outcome.getLeft().code());
        }
        synchronized (lock) {
            plan = plan.finished(holder, succeeded);
        }
        pull();
    }

    private Either<Failure, Boolean> install(Snapshot snapshot, Origin origin, Optional<RevisionDelta> delta) {
        Optional<Snapshot> before = running.current();
        Either<Failure, Boolean> installed = running.install(snapshot, origin);
        if (installed.isRight() && installed.get()) {
            delta.or(() -> before.map(base -> RevisionDelta.between(base, snapshot)))
                    .ifPresent(history::add);
            membership.scheduleFlush();
        }
        return installed;
    }

    private void watch() {
        Optional<RevisionId> lastStored;
        synchronized (lock) {
            boolean overdue = timer.nowNanos() - watchStartedNanos >= WATCH_TIMEOUT.toNanos();
            if (watching && !overdue) {
                return;
            }
            watching = true;
            watchStartedNanos = timer.nowNanos();
            lastStored = storedRevisionId;
        }
        source.watch(lastStored, WATCH_WAIT).whenComplete(Handled.by(result -> {
            synchronized (lock) {
                watching = false;
            }
            result.peek(this::onStoredRevision)
                    .peekLeft(failure -> LOG.warn("event=store_unwatched code={}", failure.code()));
        }));
    }

    private void onStoredRevision(Optional<RevisionId> latest) {
        long revision = latest.map(RevisionId::revision).orElse(0L);
        Optional<Snapshot> inForce = running.current();
        if (inForce.isPresent() && revision < inForce.get().revisionId().revision()) {
            repairStore(inForce.get(), revision);
            return;
        }
        if (latest.isEmpty() || latest.get().announcement().equals(running.announcement())) {
            recordStored(latest);
            return;
        }
        load(latest.get());
    }

    private void repairStore(Snapshot inForce, long storedRevision) {
        LOG.error(
                "event=store_behind stored={} running={}",
                storedRevision,
                inForce.revisionId().revision());
        Either<Failure, Long> token = leader.fencingToken();
        if (token.isLeft()) {
            return;
        }
        repair.restore(inForce, token.get())
                .whenComplete(Handled.by(result -> result.peek(revisionId -> recordStored(Optional.of(revisionId)))
                        .peekLeft(failure -> LOG.warn("event=store_unrepaired code={}", failure.code()))));
    }

    private void load(RevisionId revisionId) {
        source.load(revisionId)
                .whenComplete(Handled.by(
                        result -> result.flatMap(snapshot -> install(snapshot, Origin.STORE, Optional.empty()))
                                .peek(installed -> recordStored(Optional.of(revisionId)))
                                .peekLeft(failure -> LOG.warn(
                                        "event=revision_unloaded revision={} code={}",
                                        revisionId.revision(),
                                        failure.code()))));
    }

    private void resolveConflict(RevisionId other) {
        synchronized (lock) {
            if (timer.nowNanos() - conflictCheckedNanos < CONFLICT_INTERVAL.toNanos()) {
                return;
            }
            conflictCheckedNanos = timer.nowNanos();
        }
        LOG.error(
                "event=revision_conflict revision={} running={} other={}",
                other.revision(),
                running.announcement().digest(),
                other.digest());
        source.latest()
                .whenComplete(Handled.by(result -> result.peek(latest -> latest.filter(revisionId ->
                                revisionId.revision() >= running.announcement().revision())
                        .filter(revisionId -> !revisionId.announcement().equals(running.announcement()))
                        .ifPresent(this::load))));
    }

    /**
     * Records the revision in the store. If it changed, starts the next watch at once; otherwise the next tick does.
     */
    private void recordStored(Optional<RevisionId> revisionId) {
        boolean changed;
        synchronized (lock) {
            changed = !storedRevisionId.equals(revisionId);
            storedRevisionId = revisionId;
        }
        if (changed && leader.holdsLease()) {
            timer.after(Duration.ZERO, this::watch);
        }
    }
}
