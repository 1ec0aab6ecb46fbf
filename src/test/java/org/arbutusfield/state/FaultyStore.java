package org.arbutusfield.state;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.ConditionalWrite;
import org.arbutusfield.store.ItemSink;
import org.arbutusfield.store.PageEnd;
import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;
import org.arbutusfield.store.WatchableStore;

/** A store that one host can't reach at times. Calls then fail without effect, and so do open watches when they end. */
public final class FaultyStore implements WatchableStore {
    private final WatchableStore store;
    private boolean reachable = true;

    private FaultyStore(WatchableStore store) {
        this.store = store;
    }

    /** Creates a reachable store. */
    public static FaultyStore of(WatchableStore store) {
        return new FaultyStore(store);
    }

    /** Makes the store reachable or unreachable. */
    public void setReachable(boolean reachable) {
        this.reachable = reachable;
    }

    @Override
    public CompletableFuture<Either<Failure, PageEnd>> list(String prefix, String afterKey, ItemSink items) {
        return call(() -> store.list(prefix, afterKey, items));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> watch(
            String prefix, StoreRevision after, Duration wait, ItemSink items) {
        return call(() ->
                store.watch(prefix, after, wait, items).thenApply(changes -> reachable ? changes : unreachable()));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long leaseId) {
        return call(() -> store.put(key, value, leaseId));
    }

    @Override
    public CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
            String key, byte[] value, long leaseId, long expectedRevision) {
        return call(() -> store.putIf(key, value, leaseId, expectedRevision));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> remove(String key) {
        return call(() -> store.remove(key));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration) {
        return call(() -> store.grantLease(duration));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> renewLease(long leaseId) {
        return call(() -> store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> endLease(long leaseId) {
        return call(() -> store.endLease(leaseId));
    }

    private <T> CompletableFuture<Either<Failure, T>> call(Supplier<CompletableFuture<Either<Failure, T>>> call) {
        return reachable ? call.get() : CompletableFuture.completedFuture(unreachable());
    }

    private static <T> Either<Failure, T> unreachable() {
        return Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE));
    }
}
