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
import org.arbutusfield.timer.TimerService;
import org.arbutusfield.wire.ControlHandlers;
import org.arbutusfield.wire.ControlTransport;
import org.arbutusfield.wire.gen.ControlMessage;

/**
 * Brings every accepted configuration into force on this host, and passes it on.
 *
 * <p>Problem: an accepted configuration must be in force on thousands of hosts within seconds, also while the store is
 * down, with the store's load bounded, and whatever a restored store, a late peer or a host waking from a pause says,
 * no host may go back.
 *
 * <p>Idea: revisions are numbered, and {@link RunningRevision} alone decides what comes into force: only what is newer.
 * Domain leaders watch the store; everyone else learns of revisions from the heartbeats, which carry (revision, digest)
 * and go out at once when it changes, so news crosses the fleet in as many hops as the graph of peers is wide. The
 * content is read from the peer that announced it, as a delta against what is in force where the peer still has that
 * step, and checked against the digest; each host that has it serves it to others.
 *
 * <p>Rules: a leader that finds the store behind what is in force has it repaired. Where one revision number has two
 * contents, which takes a store that was restored and then written, a host asks the store, at most once per
 * {@code CONFLICT_INTERVAL}, and the store's content wins.
 *
 * <p>Example: host a accepts revision 8 by its compare-and-swap and offers it here. Its eight peers get a heartbeat
 * with (8, digest) within milliseconds, read the delta from 7, install it and tell theirs. The store may be down
 * throughout.
 */
public final class ConfigurationDistributor implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ConfigurationDistributor.class);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration WATCH_OVERDUE = Duration.ofSeconds(40);
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final Duration CONFLICT_INTERVAL = Duration.ofSeconds(10);

    private final RunningRevision running;
    private final DeltaHistory history = DeltaHistory.create();
    private final ConfigurationSource source;
    private final StoreRepair repair;
    private final DomainLeader leader;
    private final MembershipService membership;
    private final ControlTransport transport;
    private final TimerService timer;
    private final TimerService.ScheduledTask ticks;
    private final Object lock = new Object();
    private PullPlan plan = PullPlan.idle();
    private Optional<RevisionId> stored = Optional.empty();
    private boolean watching;
    private long watchedNanos;
    private long askedNanos;

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
        this.askedNanos = timer.nowNanos() - CONFLICT_INTERVAL.toNanos();
        this.ticks = timer.every(TICK, this::tick);
    }

    /**
     * Starts to spread.
     *
     * @param running what is in force on this host; changed by this service only
     * @param source the store's configurations
     * @param repair mends a store that is behind
     * @param leader says whether this host watches the store
     * @param membership carries the announcements
     * @param transport reads from peers
     * @param handlers receives the handler of snapshot requests
     * @param timer drives watching and retries
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
        ConfigurationDistributor spread =
                new ConfigurationDistributor(running, source, repair, leader, membership, transport, timer);
        SnapshotServer server = new SnapshotServer(running, spread.history);
        handlers.register(
                ControlMessage._Fields.SNAPSHOT_REQUEST,
                message -> CompletableFuture.completedFuture(server.answer(message.getSnapshotRequest())));
        membership.addAnnouncementListener(spread::announced);
        return spread;
    }

    /**
     * Takes in a configuration that the store accepted on this host's request, and passes it on at once.
     *
     * @return as {@link RunningRevision#install}
     */
    public Either<Failure, Boolean> offer(Snapshot accepted) {
        return install(accepted, Origin.STORE, Optional.empty());
    }

    /** Stops watching and reading. */
    @Override
    public void close() {
        ticks.cancel();
    }

    private void tick() {
        pull();
        if (leader.holdsLease()) {
            watch();
        }
    }

    private void announced(Member peer, RevisionAnnouncement announcement) {
        RevisionId root = RevisionId.of(announcement);
        RevisionAnnouncement own = running.announcement();
        if (root.revision() == own.revision() && !root.digest().equals(own.digest())) {
            settle(root);
            return;
        }
        if (root.revision() <= own.revision()) {
            return;
        }
        synchronized (lock) {
            plan = plan.announced(peer, root, own.revision());
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
        holder.ifPresent(chosen -> read(chosen, false));
    }

    private void read(PullPlan.Holder holder, boolean full) {
        Optional<Snapshot> have = running.current();
        SnapshotReader.start(transport, holder.peer().controlAddress(), have, holder.revisionId(), full)
                .thenAccept(answer -> {
                    Either<Failure, Boolean> installed =
                            answer.flatMap(received -> install(received.snapshot(), Origin.PEER, received.step()));
                    boolean deltaFailed = !full && installed.isLeft() && damaged(installed.getLeft());
                    boolean behind = running.announcement().revision()
                            < holder.revisionId().revision();
                    if (behind && (installed.isRight() || deltaFailed)) {
                        read(holder, deltaFailed);
                        return;
                    }
                    finished(holder, !behind, installed);
                });
    }

    private static boolean damaged(Failure failure) {
        return failure.code() == ErrorCode.PEER_PROTOCOL || failure.code() == ErrorCode.STORE_CORRUPT;
    }

    private void finished(PullPlan.Holder holder, boolean succeeded, Either<Failure, Boolean> outcome) {
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

    private Either<Failure, Boolean> install(Snapshot snapshot, Origin origin, Optional<RevisionDelta> step) {
        Optional<Snapshot> before = running.current();
        Either<Failure, Boolean> installed = running.install(snapshot, origin);
        if (installed.isRight() && installed.get()) {
            step.or(() -> before.map(base -> RevisionDelta.between(base, snapshot)))
                    .ifPresent(history::add);
            membership.scheduleFlush();
        }
        return installed;
    }

    private void watch() {
        Optional<RevisionId> known;
        synchronized (lock) {
            boolean overdue = timer.nowNanos() - watchedNanos >= WATCH_OVERDUE.toNanos();
            if (watching && !overdue) {
                return;
            }
            watching = true;
            watchedNanos = timer.nowNanos();
            known = stored;
        }
        source.watch(known, WATCH_WAIT).thenAccept(answer -> {
            synchronized (lock) {
                watching = false;
            }
            answer.peek(this::seen).peekLeft(failure -> LOG.warn("event=store_unwatched code={}", failure.code()));
        });
    }

    private void seen(Optional<RevisionId> latest) {
        long revision = latest.map(RevisionId::revision).orElse(0L);
        Optional<Snapshot> inForce = running.current();
        if (inForce.isPresent() && revision < inForce.get().revisionId().revision()) {
            mend(inForce.get(), revision);
            return;
        }
        if (latest.isEmpty() || latest.get().announcement().equals(running.announcement())) {
            remember(latest);
            return;
        }
        load(latest.get());
    }

    private void mend(Snapshot inForce, long storedRevision) {
        LOG.error(
                "event=store_behind stored={} running={}",
                storedRevision,
                inForce.revisionId().revision());
        Either<Failure, Long> permit = leader.fencingToken();
        if (permit.isLeft()) {
            return;
        }
        repair.restore(inForce, permit.get())
                .thenAccept(answer -> answer.peek(root -> remember(Optional.of(root)))
                        .peekLeft(failure -> LOG.warn("event=store_unrepaired code={}", failure.code())));
    }

    private void load(RevisionId root) {
        source.load(root)
                .thenAccept(answer -> answer.flatMap(snapshot -> install(snapshot, Origin.STORE, Optional.empty()))
                        .peek(installed -> remember(Optional.of(root)))
                        .peekLeft(failure -> LOG.warn(
                                "event=revision_unloaded revision={} code={}", root.revision(), failure.code())));
    }

    private void settle(RevisionId other) {
        synchronized (lock) {
            if (timer.nowNanos() - askedNanos < CONFLICT_INTERVAL.toNanos()) {
                return;
            }
            askedNanos = timer.nowNanos();
        }
        LOG.error(
                "event=revision_conflict revision={} running={} other={}",
                other.revision(),
                running.announcement().digest(),
                other.digest());
        source.latest()
                .thenAccept(answer -> answer.peek(latest -> latest.filter(root ->
                                root.revision() >= running.announcement().revision())
                        .filter(root -> !root.announcement().equals(running.announcement()))
                        .ifPresent(this::load)));
    }

    /** Notes what the store has, and waits for the next change at once; without progress the next tick does. */
    private void remember(Optional<RevisionId> root) {
        boolean moved;
        synchronized (lock) {
            moved = !stored.equals(root);
            stored = root;
        }
        if (moved && leader.holdsLease()) {
            timer.after(Duration.ZERO, this::watch);
        }
    }
}
