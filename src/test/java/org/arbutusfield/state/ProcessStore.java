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
import org.arbutusfield.timer.PausableTimer;
import org.arbutusfield.timer.TimerService;

/**
 * A store as one simulated process sees it. Calls and answers take some time. A call that has left the process is
 * carried out even if the process is paused or killed, or no longer waits for the answer.
 */
public final class ProcessStore implements WatchableStore {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final WatchableStore store;
    private final TimerService network;
    private final PausableTimer process;
    private final Supplier<Duration> delay;

    private ProcessStore(WatchableStore store, TimerService network, PausableTimer process, Supplier<Duration> delay) {
        this.store = store;
        this.network = network;
        this.process = process;
        this.delay = delay;
    }

    /**
     * Creates the client of a process.
     *
     * @param store the store
     * @param network time of everything but the process
     * @param process timer of the process
     * @param delay supplies the time that a call, or an answer, takes
     */
    public static ProcessStore of(
            WatchableStore store, TimerService network, PausableTimer process, Supplier<Duration> delay) {
        return new ProcessStore(store, network, process, delay);
    }

    @Override
    public CompletableFuture<Either<Failure, PageEnd>> list(String prefix, String afterKey, ItemSink items) {
        return call(TIMEOUT, () -> store.list(prefix, afterKey, items));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> watch(
            String prefix, StoreRevision after, Duration wait, ItemSink changes) {
        return call(TIMEOUT.plus(wait), () -> store.watch(prefix, after, wait, changes));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> put(String key, byte[] value, long leaseId) {
        return call(TIMEOUT, () -> store.put(key, value, leaseId));
    }

    @Override
    public CompletableFuture<Either<Failure, ConditionalWrite>> putIf(
            String key, byte[] value, long leaseId, long expectedRevision) {
        return call(TIMEOUT, () -> store.putIf(key, value, leaseId, expectedRevision));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreRevision>> remove(String key) {
        return call(TIMEOUT, () -> store.remove(key));
    }

    @Override
    public CompletableFuture<Either<Failure, StoreLease>> grantLease(Duration duration) {
        return call(TIMEOUT, () -> store.grantLease(duration));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> renewLease(long leaseId) {
        return call(TIMEOUT, () -> store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> endLease(long leaseId) {
        return call(TIMEOUT, () -> store.endLease(leaseId));
    }

    private <T> CompletableFuture<Either<Failure, T>> call(
            Duration timeout, Supplier<CompletableFuture<Either<Failure, T>>> call) {
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        process.after(timeout, () -> result.complete(Either.left(Failure.of(ErrorCode.STORE_TIMEOUT))));
        network.after(
                delay.get(),
                () -> call.get().thenAccept(answer -> process.after(delay.get(), () -> result.complete(answer))));
        return result;
    }
}
