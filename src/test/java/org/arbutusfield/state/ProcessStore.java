package org.arbutusfield.state;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.ItemChanges;
import org.arbutusfield.store.ItemPage;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;
import org.arbutusfield.timer.PausableTimer;

/** A store as one simulated process sees it: answers take some time, and wait while the process is paused. */
public final class ProcessStore implements WatchableStore {
    private static final Duration ANSWER_TIME = Duration.ofMillis(4);

    private final WatchableStore store;
    private final PausableTimer timer;

    private ProcessStore(WatchableStore store, PausableTimer timer) {
        this.store = store;
        this.timer = timer;
    }

    /** Creates the client of a process. */
    public static ProcessStore of(WatchableStore store, PausableTimer timer) {
        return new ProcessStore(store, timer);
    }

    @Override
    public CompletableFuture<Either<Failure, ItemPage>> list(String prefix, String afterKey) {
        return late(store.list(prefix, afterKey));
    }

    @Override
    public CompletableFuture<Either<Failure, ItemChanges>> watch(String prefix, StoreRevision after, Duration wait) {
        return late(store.watch(prefix, after, wait));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long leaseId) {
        return late(store.put(key, value, leaseId));
    }

    @Override
    public CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
            String key, byte[] value, long leaseId, long expectedRevision) {
        return late(store.putIf(key, value, leaseId, expectedRevision));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> remove(String key) {
        return late(store.remove(key));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration) {
        return late(store.grantLease(duration));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> renewLease(long leaseId) {
        return late(store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> endLease(long leaseId) {
        return late(store.endLease(leaseId));
    }

    private <T> CompletableFuture<T> late(CompletableFuture<T> answer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        answer.thenAccept(value -> timer.after(ANSWER_TIME, () -> result.complete(value)));
        return result;
    }
}
