package org.arbutusfield.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Handled;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;
import org.arbutusfield.timer.TimerService;

/**
 * Writes one host's changes to one shard of claims, one write at a time.
 *
 * <p><b>Problem.</b> The store takes several hundred writes a second from all hosts together, responds within
 * milliseconds, and its response may be lost after a write took effect. A request must not run before its claim is
 * certain.
 *
 * <p><b>Idea.</b> Group commit: while a write is in progress, further changes wait and go together into the next one;
 * if no write is in progress, a claim is written at once. Completions may be delayed a little to share a write. A write
 * whose response was lost is retried unchanged, a limited number of times, until it succeeds or conflicts. After a
 * conflict no copy of it can take effect any more, and reading the shard shows whether it did.
 *
 * <p><b>Invariants.</b> At most one batch is in progress. A claim is granted only if a write that contains it
 * succeeded, or a read after a conflict shows it. A claim that is refused because the store failed, but that may have
 * been written, is removed afterwards.
 *
 * <p><b>Example.</b> Three claims arrive while a write is in progress: the next write contains all three.
 *
 * <p>Thread-safe: the writer's lock guards its state; store calls and futures complete outside it.
 */
final class ClaimShardWriter {
    private static final int MAX_PENDING_CHANGES = 2000;
    private static final int MAX_WRITE_ATTEMPTS = 3;
    private static final int MAX_CONFLICTS = 12;
    private static final Duration REMOVAL_DELAY = Duration.ofMillis(50);
    private static final Duration FINISH_RETRY_DELAY = Duration.ofSeconds(1);

    private final Store store;
    private final TimerService timer;
    private final LongSupplier wallSeconds;
    private final WriteRateLimiter writeLimiter;
    private final ClaimSettings settings;
    private final String storeKey;
    private List<PendingChange> pendingChanges = new ArrayList<>();
    private boolean roundActive;
    private ShardState lastKnown;
    private boolean contended;

    private ClaimShardWriter(
            Store store,
            TimerService timer,
            LongSupplier wallSeconds,
            WriteRateLimiter writeLimiter,
            ClaimSettings settings,
            String storeKey) {
        this.store = store;
        this.timer = timer;
        this.wallSeconds = wallSeconds;
        this.writeLimiter = writeLimiter;
        this.settings = settings;
        this.storeKey = storeKey;
    }

    /** Creates the writer for the shard of claims that is stored under the key. */
    static ClaimShardWriter of(
            Store store,
            TimerService timer,
            LongSupplier wallSeconds,
            WriteRateLimiter writeLimiter,
            ClaimSettings settings,
            String storeKey) {
        return new ClaimShardWriter(store, timer, wallSeconds, writeLimiter, settings, storeKey);
    }

    /** Claims a key; fails with {@code CLAIM_UNAVAILABLE} if the claim cannot be made certain in time. */
    CompletableFuture<Either<Failure, ClaimDecision>> begin(ClaimChange change) {
        PendingChange pending = new PendingChange(change, new CompletableFuture<>());
        if (!add(pending)) {
            return CompletableFuture.completedFuture(Either.left(unavailable("too many claims are waiting")));
        }
        TimerService.ScheduledTask timeoutTask = timer.after(
                settings.maxWait(), () -> pending.result.complete(Either.left(unavailable("not claimed in time"))));
        pending.result.whenComplete((result, error) -> timeoutTask.cancel());
        startRoundIfIdle();
        return pending.result;
    }

    /**
     * Records the end of a claim; it is written with the next batch, which is started after a delay if none starts
     * earlier. Dropped if too many changes are waiting.
     */
    void finish(ClaimChange change) {
        if (add(new PendingChange(change, new CompletableFuture<>()))) {
            boolean removal = change.kind() == ClaimChange.Kind.REMOVE;
            timer.after(removal ? REMOVAL_DELAY : settings.finishDelay(), this::startRoundIfIdle);
        }
    }

    private synchronized boolean add(PendingChange pending) {
        if (pendingChanges.size() >= MAX_PENDING_CHANGES) {
            return false;
        }
        pendingChanges.add(pending);
        return true;
    }

    private void startRoundIfIdle() {
        synchronized (this) {
            if (roundActive || pendingChanges.isEmpty()) {
                return;
            }
            roundActive = true;
        }
        Duration wait = writeLimiter.reserve();
        if (wait.isZero()) {
            startRound();
        } else {
            timer.after(wait, this::startRound);
        }
    }

    private void startRound() {
        Round round;
        synchronized (this) {
            round = new Round(pendingChanges.stream()
                    .filter(pending -> !pending.result.isDone())
                    .toList());
            pendingChanges = new ArrayList<>();
        }
        if (round.batch.isEmpty()) {
            endRound();
        } else if (mustReadFirst()) {
            readShard(round);
        } else {
            applyChanges(round);
        }
    }

    private void readShard(Round round) {
        store.read(storeKey).whenComplete(Handled.by(read -> {
            Either<Failure, ShardState> decoded = read.flatMap(ClaimShardWriter::decode);
            if (decoded.isLeft()) {
                failRound(round);
                return;
            }
            recordRead(decoded.get());
            round.shardWasRead = true;
            applyChanges(round);
        }));
    }

    private void applyChanges(Round round) {
        ShardState before = lastKnown();
        ClaimShard.Result result = before.shard.apply(round.changes(), wallSeconds.getAsLong(), settings);
        if (result.changed()) {
            write(round, before, result, 1);
        } else if (round.shardWasRead) {
            completeRound(round, result);
        } else {
            readShard(round);
        }
    }

    private void write(Round round, ShardState before, ClaimShard.Result result, int attempt) {
        store.compareAndSwap(storeKey, before.version, result.shard().encode()).whenComplete(Handled.by(response -> {
            if (response.isRight()) {
                setLastKnown(new ShardState(response.get(), result.shard()));
                completeRound(round, result);
                return;
            }
            Failure failure = response.getLeft();
            writeLimiter.reserve();
            if (failure.code() == ErrorCode.STORE_CONFLICT && round.conflicts++ < MAX_CONFLICTS) {
                readShard(round);
                return;
            }
            round.mayBeWritten |= !failure.notRun();
            if (round.mayBeWritten && failure.code() != ErrorCode.STORE_CONFLICT && attempt < MAX_WRITE_ATTEMPTS) {
                write(round, before, result, attempt + 1);
            } else {
                failRound(round);
            }
        }));
    }

    private void completeRound(Round round, ClaimShard.Result result) {
        for (int i = 0; i < round.batch.size(); i++) {
            PendingChange pending = round.batch.get(i);
            ClaimDecision decision = result.decisions().get(i);
            boolean delivered = pending.result.complete(Either.right(decision));
            if (!delivered && decision.granted() && pending.change.kind() == ClaimChange.Kind.BEGIN) {
                finish(removalOf(pending.change));
            }
        }
        endRound();
    }

    private void failRound(Round round) {
        setLastKnown(null);
        for (PendingChange pending : round.batch) {
            if (pending.change.kind() != ClaimChange.Kind.BEGIN) {
                if (add(pending)) {
                    timer.after(FINISH_RETRY_DELAY, this::startRoundIfIdle);
                }
                continue;
            }
            pending.result.complete(Either.left(unavailable("the store does not answer")));
            if (round.mayBeWritten) {
                finish(removalOf(pending.change));
            }
        }
        endRound();
    }

    private void endRound() {
        boolean more;
        synchronized (this) {
            roundActive = false;
            more = pendingChanges.stream().anyMatch(pending -> pending.change.kind() == ClaimChange.Kind.BEGIN);
        }
        if (more) {
            startRoundIfIdle();
        }
    }

    /** True if the state of the shard is not known, or if the last read found a write that was not known here. */
    private synchronized boolean mustReadFirst() {
        return lastKnown == null || contended;
    }

    private synchronized void recordRead(ShardState read) {
        contended = lastKnown != null && lastKnown.version != read.version;
        lastKnown = read;
    }

    private synchronized ShardState lastKnown() {
        return lastKnown;
    }

    private synchronized void setLastKnown(ShardState state) {
        lastKnown = state;
    }

    private Failure unavailable(String detail) {
        return Failure.of(ErrorCode.CLAIM_UNAVAILABLE, "", detail).withRetryAfter(settings.maxWait());
    }

    private static ClaimChange removalOf(ClaimChange change) {
        return new ClaimChange(ClaimChange.Kind.REMOVE, change.key(), change.holder(), change.sequence(), 0);
    }

    private static Either<Failure, ShardState> decode(java.util.Optional<VersionedValue> value) {
        if (value.isEmpty()) {
            return Either.right(new ShardState(0, ClaimShard.empty()));
        }
        long version = value.get().version();
        return ClaimShard.decode(value.get().value()).map(shard -> new ShardState(version, shard));
    }

    private record ShardState(long version, ClaimShard shard) {}

    private record PendingChange(ClaimChange change, CompletableFuture<Either<Failure, ClaimDecision>> result) {}

    /** One batch in progress; only one thread works on it at a time. */
    private static final class Round {
        private final List<PendingChange> batch;
        private boolean shardWasRead;
        private boolean mayBeWritten;
        private int conflicts;

        private Round(List<PendingChange> batch) {
            this.batch = batch;
        }

        private List<ClaimChange> changes() {
            return batch.stream().map(PendingChange::change).toList();
        }
    }
}
