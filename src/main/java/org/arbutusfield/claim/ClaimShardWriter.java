package org.arbutusfield.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;
import org.arbutusfield.timer.TimerService;

/**
 * One host's writes to one shard of claims, one at a time.
 *
 * <p><b>Problem.</b> The store takes several hundred writes a second from all hosts, answers in milliseconds, and may
 * lose an answer after the write took effect. A request must not run before its claim is certain.
 *
 * <p><b>Idea.</b> Group commit: while a write is on its way, further changes wait and go together in the next one; when
 * the lane is idle a claim is written at once. The ends of requests may wait a little to share a write. A write whose
 * answer is lost is sent again as it was, until it succeeds or conflicts; after a conflict no copy of it can take
 * effect any more, and the shard as read says what became of it.
 *
 * <p><b>Invariants.</b> At most one round is under way. A claim is granted only when a write that holds it succeeded,
 * or a read after a conflict shows it. A claim that is refused because the store failed, but may have been written, is
 * followed by its removal.
 *
 * <p><b>Example.</b> Three claims arrive while a write is on its way: the next write holds all three.
 *
 * <p>Thread-safe: the lane's lock guards its state; store calls and futures complete outside it.
 */
final class ClaimShardWriter {
    private static final int MAX_WAITING = 2000;
    private static final int MAX_SENDS = 3;
    private static final int MAX_CONFLICTS = 12;
    private static final Duration REMOVAL_DELAY = Duration.ofMillis(50);
    private static final Duration RETRY_FINISH = Duration.ofSeconds(1);

    private final Store store;
    private final TimerService timer;
    private final LongSupplier wallSeconds;
    private final WriteRateLimiter budget;
    private final ClaimSettings settings;
    private final String storeKey;
    private List<Waiting> waiting = new ArrayList<>();
    private boolean busy;
    private ShardState known;
    private boolean contended;

    private ClaimShardWriter(
            Store store,
            TimerService timer,
            LongSupplier wallSeconds,
            WriteRateLimiter budget,
            ClaimSettings settings,
            String storeKey) {
        this.store = store;
        this.timer = timer;
        this.wallSeconds = wallSeconds;
        this.budget = budget;
        this.settings = settings;
        this.storeKey = storeKey;
    }

    /** A lane for one shard of claims, kept under the store key. */
    static ClaimShardWriter of(
            Store store,
            TimerService timer,
            LongSupplier wallSeconds,
            WriteRateLimiter budget,
            ClaimSettings settings,
            String storeKey) {
        return new ClaimShardWriter(store, timer, wallSeconds, budget, settings, storeKey);
    }

    /** Claims a key; {@code CLAIM_UNAVAILABLE} when that cannot be made certain in time. */
    CompletableFuture<Either<Failure, ClaimDecision>> begin(ClaimChange change) {
        Waiting item = new Waiting(change, new CompletableFuture<>());
        if (!add(item)) {
            return CompletableFuture.completedFuture(Either.left(unavailable("too many claims are waiting")));
        }
        TimerService.ScheduledTask late = timer.after(
                settings.maxWait(), () -> item.answer.complete(Either.left(unavailable("not claimed in time"))));
        item.answer.whenComplete((answer, error) -> late.cancel());
        kick();
        return item.answer;
    }

    /** Tells what became of a claim; written within the finish delay when the store is up. */
    void finish(ClaimChange change) {
        if (add(new Waiting(change, new CompletableFuture<>()))) {
            boolean removal = change.kind() == ClaimChange.Kind.REMOVE;
            timer.after(removal ? REMOVAL_DELAY : settings.finishDelay(), this::kick);
        }
    }

    private synchronized boolean add(Waiting item) {
        if (waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.add(item);
        return true;
    }

    private void kick() {
        synchronized (this) {
            if (busy || waiting.isEmpty()) {
                return;
            }
            busy = true;
        }
        Duration wait = budget.take();
        if (wait.isZero()) {
            startRound();
        } else {
            timer.after(wait, this::startRound);
        }
    }

    private void startRound() {
        Round round;
        synchronized (this) {
            round = new Round(
                    waiting.stream().filter(item -> !item.answer.isDone()).toList());
            waiting = new ArrayList<>();
        }
        if (round.batch.isEmpty()) {
            end();
        } else if (readFirst()) {
            refresh(round);
        } else {
            work(round);
        }
    }

    private void refresh(Round round) {
        store.read(storeKey).thenAccept(read -> {
            Either<Failure, ShardState> decoded = read.flatMap(ClaimShardWriter::decode);
            if (decoded.isLeft()) {
                fail(round);
                return;
            }
            learn(decoded.get());
            round.fresh = true;
            work(round);
        });
    }

    private void work(Round round) {
        ShardState before = known();
        ClaimShard.Result result = before.shard.apply(round.changes(), wallSeconds.getAsLong(), settings);
        if (result.changed()) {
            send(round, before, result, 1);
        } else if (round.fresh) {
            complete(round, result);
        } else {
            refresh(round);
        }
    }

    private void send(Round round, ShardState before, ClaimShard.Result result, int sends) {
        store.compareAndSwap(storeKey, before.version, result.shard().encode()).thenAccept(answer -> {
            if (answer.isRight()) {
                remember(new ShardState(answer.get(), result.shard()));
                complete(round, result);
                return;
            }
            Failure failure = answer.getLeft();
            budget.take();
            if (failure.code() == ErrorCode.STORE_CONFLICT && round.conflicts++ < MAX_CONFLICTS) {
                refresh(round);
                return;
            }
            round.mayBeWritten |= !failure.notRun();
            if (round.mayBeWritten && failure.code() != ErrorCode.STORE_CONFLICT && sends < MAX_SENDS) {
                send(round, before, result, sends + 1);
            } else {
                fail(round);
            }
        });
    }

    private void complete(Round round, ClaimShard.Result result) {
        for (int i = 0; i < round.batch.size(); i++) {
            Waiting item = round.batch.get(i);
            ClaimDecision decision = result.decisions().get(i);
            boolean told = item.answer.complete(Either.right(decision));
            if (!told && decision.granted() && item.change.kind() == ClaimChange.Kind.BEGIN) {
                finish(removalOf(item.change));
            }
        }
        end();
    }

    private void fail(Round round) {
        remember(null);
        for (Waiting item : round.batch) {
            if (item.change.kind() != ClaimChange.Kind.BEGIN) {
                if (add(item)) {
                    timer.after(RETRY_FINISH, this::kick);
                }
                continue;
            }
            item.answer.complete(Either.left(unavailable("the store does not answer")));
            if (round.mayBeWritten) {
                finish(removalOf(item.change));
            }
        }
        end();
    }

    private void end() {
        boolean more;
        synchronized (this) {
            busy = false;
            more = waiting.stream().anyMatch(item -> item.change.kind() == ClaimChange.Kind.BEGIN);
        }
        if (more) {
            kick();
        }
    }

    /** True when other hosts wrote the shard between this host's last two looks at it. */
    private synchronized boolean readFirst() {
        return known == null || contended;
    }

    private synchronized void learn(ShardState read) {
        contended = known != null && known.version != read.version;
        known = read;
    }

    private synchronized ShardState known() {
        return known;
    }

    private synchronized void remember(ShardState state) {
        known = state;
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

    private record Waiting(ClaimChange change, CompletableFuture<Either<Failure, ClaimDecision>> answer) {}

    /** One batch on its way; only one thread works on it at a time. */
    private static final class Round {
        private final List<Waiting> batch;
        private boolean fresh;
        private boolean mayBeWritten;
        private int conflicts;

        private Round(List<Waiting> batch) {
            this.batch = batch;
        }

        private List<ClaimChange> changes() {
            return batch.stream().map(Waiting::change).toList();
        }
    }
}
