package org.arbutusfield.lab.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.distribution.RevisionId;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.store.Lease;
import org.arbutusfield.timer.TimerService;

/**
 * In-memory store of snapshots and leases with injected faults. Each host uses it through a
 * {@link SnapshotStoreClient}.
 */
public final class InMemorySnapshotStore {
    private final TimerService timer;
    private final List<Snapshot> acceptedSnapshots = new ArrayList<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private Optional<Snapshot> current = Optional.empty();
    private long nextToken = 1;
    private long reads;
    private long writes;
    private boolean down;
    private boolean dropResponses;
    private Duration delay = Duration.ofMillis(2);

    private InMemorySnapshotStore(TimerService timer) {
        this.timer = timer;
    }

    /** Creates an empty store. */
    public static InMemorySnapshotStore create(TimerService timer) {
        return new InMemorySnapshotStore(timer);
    }

    /** Sets whether the store is unavailable and fails every call. */
    public synchronized void down(boolean value) {
        down = value;
    }

    /**
     * Sets whether calls are executed but their responses are lost, so that they time out. Watches are not affected.
     */
    public synchronized void dropResponses(boolean value) {
        dropResponses = value;
    }

    /** Sets the delay of each response. */
    public synchronized void delay(Duration value) {
        delay = value;
    }

    /** Stores a content as the next revision, as applying a release note does by compare-and-swap. */
    public Snapshot accept(byte[] content) {
        Snapshot next;
        synchronized (this) {
            long revision =
                    current.map(snapshot -> snapshot.revisionId().revision()).orElse(0L) + 1;
            next = Snapshot.of(new RevisionId(revision, Digests.sha256(content)), content);
            acceptedSnapshots.add(next);
            setCurrent(next);
        }
        return next;
    }

    /** Goes back to an earlier accepted revision and drops all leases, like a store restored from a backup. */
    public synchronized void restoreTo(long revision) {
        acceptedSnapshots.stream()
                .filter(snapshot -> snapshot.revisionId().revision() == revision)
                .findFirst()
                .ifPresent(this::setCurrent);
        leases.clear();
    }

    /** All snapshots accepted so far, oldest first. */
    public synchronized List<Snapshot> accepted() {
        return List.copyOf(acceptedSnapshots);
    }

    /** The current snapshot, if any. */
    public synchronized Optional<Snapshot> current() {
        return current;
    }

    /** Number of reads so far; a waiting watch counts as one. */
    public synchronized long reads() {
        return reads;
    }

    /** Number of writes and lease calls so far. */
    public synchronized long writes() {
        return writes;
    }

    /** Creates the client of one host. Responses arrive on the timer of the host. */
    public SnapshotStoreClient client(TimerService hostTimer) {
        return new SnapshotStoreClient(this, hostTimer);
    }

    <T> CompletableFuture<Either<Failure, T>> call(
            TimerService hostTimer, boolean write, Supplier<Either<Failure, T>> operation) {
        CompletableFuture<Either<Failure, T>> answer = new CompletableFuture<>();
        synchronized (this) {
            reads += write ? 0 : 1;
            writes += write ? 1 : 0;
            boolean lost = dropResponses;
            Either<Failure, T> outcome = down ? unavailable() : operation.get();
            Either<Failure, T> response = lost ? Either.left(Failure.of(ErrorCode.STORE_TIMEOUT)) : outcome;
            hostTimer.after(delay, () -> answer.complete(response));
        }
        return answer;
    }

    CompletableFuture<Either<Failure, Optional<RevisionId>>> watch(
            TimerService hostTimer, Optional<RevisionId> known, Duration wait) {
        CompletableFuture<Either<Failure, Optional<RevisionId>>> answer = new CompletableFuture<>();
        synchronized (this) {
            reads++;
            Optional<RevisionId> now = current.map(Snapshot::revisionId);
            if (down || !now.equals(known)) {
                Either<Failure, Optional<RevisionId>> outcome = down ? unavailable() : Either.right(now);
                hostTimer.after(delay, () -> answer.complete(outcome));
                return answer;
            }
            watchers.add(new Watcher(hostTimer, answer));
        }
        hostTimer.after(wait, () -> answer.complete(currentRevision()));
        return answer;
    }

    Either<Failure, Lease> lease(String key, String holder, Duration length) {
        long now = timer.nowNanos();
        HeldLease held = leases.get(key);
        boolean free = held == null || held.endNanos() - now <= 0;
        if (!free && !held.lease().holder().equals(holder)) {
            return Either.left(Failure.of(ErrorCode.LEASE_HELD, key));
        }
        boolean same = held != null && held.lease().holder().equals(holder);
        long token = same ? held.lease().token() : nextToken++;
        Lease lease = new Lease(key, holder, token, length);
        leases.put(key, new HeldLease(lease, now + length.toNanos()));
        return Either.right(lease);
    }

    Either<Failure, Boolean> release(String key, String holder) {
        HeldLease held = leases.get(key);
        boolean heldByCaller = held != null && held.lease().holder().equals(holder);
        if (heldByCaller) {
            leases.remove(key);
        }
        return Either.right(heldByCaller);
    }

    Either<Failure, RevisionId> restoreIfOlder(Snapshot running) {
        boolean behind =
                current.map(snapshot -> snapshot.revisionId().revision()).orElse(0L)
                        < running.revisionId().revision();
        if (behind) {
            setCurrent(running);
        }
        return Either.right(current.orElse(running).revisionId());
    }

    private Either<Failure, Optional<RevisionId>> currentRevision() {
        synchronized (this) {
            return down ? unavailable() : Either.right(current.map(Snapshot::revisionId));
        }
    }

    private void setCurrent(Snapshot snapshot) {
        current = Optional.of(snapshot);
        for (Watcher watcher : watchers) {
            watcher.timer.after(delay, () -> watcher.answer.complete(currentRevision()));
        }
        watchers.clear();
    }

    private static <T> Either<Failure, T> unavailable() {
        return Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE));
    }

    private record HeldLease(Lease lease, long endNanos) {}

    private record Watcher(TimerService timer, CompletableFuture<Either<Failure, Optional<RevisionId>>> answer) {}
}
