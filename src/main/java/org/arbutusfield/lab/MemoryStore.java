package org.arbutusfield.lab;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.Lease;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;
import org.arbutusfield.timer.TimerService;

/**
 * An in-memory store with injectable faults, rate limits and call counters. It is used directly in virtual time, and
 * over HTTP behind {@link StoreStandIn}.
 *
 * <p>Thread-safe: one lock guards the content, and futures complete outside it. A call that is never answered completes
 * with {@code STORE_TIMEOUT} after its timeout, even if it took effect.
 */
public final class MemoryStore implements Store {
    private final TimerService timer;
    private final Duration timeout;
    private final Map<String, VersionedValue> values = new HashMap<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final Map<StoreCall.Kind, Long> counts = new EnumMap<>(StoreCall.Kind.class);
    private StoreFaults faults = StoreFaults.none();
    private TokenBucket writeLimiter;
    private TokenBucket readLimiter;

    private MemoryStore(TimerService timer, Duration timeout) {
        this.timer = timer;
        this.timeout = timeout;
        this.writeLimiter = TokenBucket.of(Double.MAX_VALUE, 0);
        this.readLimiter = TokenBucket.of(Double.MAX_VALUE, 0);
    }

    /**
     * Creates an empty store without faults or limits.
     *
     * @param timer the clock
     * @param timeout time after which an unanswered call fails; for a watch, it is added to the watch's wait
     */
    public static MemoryStore create(TimerService timer, Duration timeout) {
        return new MemoryStore(timer, timeout);
    }

    /** Sets the faults of all later calls. */
    public synchronized void injectFaults(StoreFaults next) {
        faults = next;
    }

    /** Limits the rates of writes and reads; calls above a limit are refused without effect. */
    public synchronized void limitRates(double writesPerSecond, double readsPerSecond) {
        writeLimiter = TokenBucket.of(writesPerSecond, timer.nowNanos());
        readLimiter = TokenBucket.of(readsPerSecond, timer.nowNanos());
    }

    /** Ends a lease before it expires. */
    public synchronized void expireLease(String key) {
        leases.computeIfPresent(key, (k, h) -> new HeldLease(h.name, h.token, timer.nowNanos()));
    }

    /** Returns the current values, for {@link #restore}. */
    public synchronized Map<String, VersionedValue> snapshot() {
        return Map.copyOf(values);
    }

    /** Replaces all values, including their versions, by those of a snapshot; leases stay. */
    public synchronized void restore(Map<String, VersionedValue> snapshot) {
        values.clear();
        values.putAll(snapshot);
    }

    /** Returns the number of calls received of each kind, including refused ones. */
    public synchronized Map<StoreCall.Kind, Long> counts() {
        return new EnumMap<>(counts);
    }

    /** Returns the number of calls received of one kind, including refused ones. */
    public synchronized long count(StoreCall.Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }

    /** Returns the current value; faults, limits and counters do not apply. */
    public synchronized Optional<VersionedValue> peek(String key) {
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key) {
        return call(StoreCall.Kind.READ, key, timeout, () -> completed(Either.right(peek(key))));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, long expectedVersion, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            return completed(Either.left(Failure.of(ErrorCode.STORE_VALUE_TOO_LARGE, key)));
        }
        byte[] copy = value.clone();
        return call(StoreCall.Kind.WRITE, key, timeout, () -> completed(swap(key, expectedVersion, copy)));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(
            String key, long afterVersion, Duration wait) {
        return call(StoreCall.Kind.WATCH, key, timeout.plus(wait), () -> awaitChange(key, afterVersion, wait));
    }

    @Override
    public CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration duration) {
        return call(StoreCall.Kind.ACQUIRE_LEASE, key, timeout, () -> completed(acquire(key, holder, duration)));
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder) {
        return call(StoreCall.Kind.RELEASE_LEASE, key, timeout, () -> completed(Either.right(release(key, holder))));
    }

    private <T> CompletableFuture<Either<Failure, T>> call(
            StoreCall.Kind kind,
            String key,
            Duration limit,
            Supplier<CompletableFuture<Either<Failure, T>>> operation) {
        StoreFault fault = admit(new StoreCall(kind, key));
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        TimerService.ScheduledTask timeoutTask =
                timer.after(limit, () -> result.complete(Either.left(Failure.of(ErrorCode.STORE_TIMEOUT, key))));
        result.whenComplete((answer, error) -> timeoutTask.cancel());
        after(fault.requestDelay(), () -> {
            if (fault.effect() == StoreFault.Effect.REFUSED) {
                result.complete(Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE, key)));
                return;
            }
            if (fault.effect() == StoreFault.Effect.REQUEST_LOST) {
                return;
            }
            operation
                    .get()
                    .thenAccept(answer -> after(fault.responseDelay(), () -> {
                        if (fault.effect() != StoreFault.Effect.RESPONSE_LOST) {
                            result.complete(answer);
                        }
                    }));
        });
        return result;
    }

    private synchronized StoreFault admit(StoreCall call) {
        counts.merge(call.kind(), 1L, Long::sum);
        TokenBucket rate = call.countsAsWrite() ? writeLimiter : readLimiter;
        return rate.tryAcquire(timer.nowNanos()) ? faults.faultOf(call) : StoreFault.down();
    }

    private void after(Duration delay, Runnable action) {
        if (delay.isZero()) {
            action.run();
            return;
        }
        timer.after(delay, action);
    }

    private Either<Failure, Long> swap(String key, long expectedVersion, byte[] value) {
        VersionedValue next;
        List<Watcher> woken;
        synchronized (this) {
            long version = Optional.ofNullable(values.get(key))
                    .map(VersionedValue::version)
                    .orElse(0L);
            if (version != expectedVersion) {
                return Either.left(Failure.of(ErrorCode.STORE_CONFLICT, key));
            }
            next = VersionedValue.of(version + 1, value);
            values.put(key, next);
            woken = watchers.stream().filter(w -> w.key.equals(key)).toList();
            watchers.removeAll(woken);
        }
        woken.forEach(w -> w.answer.complete(Either.right(Optional.of(next))));
        return Either.right(next.version());
    }

    private CompletableFuture<Either<Failure, Optional<VersionedValue>>> awaitChange(
            String key, long afterVersion, Duration wait) {
        Watcher watcher = new Watcher(key, new CompletableFuture<>());
        synchronized (this) {
            Optional<VersionedValue> present =
                    Optional.ofNullable(values.get(key)).filter(v -> v.version() > afterVersion);
            if (present.isPresent()) {
                return completed(Either.right(present));
            }
            watchers.add(watcher);
        }
        timer.after(wait, () -> endWait(watcher));
        return watcher.answer;
    }

    private void endWait(Watcher watcher) {
        synchronized (this) {
            watchers.remove(watcher);
        }
        watcher.answer.complete(Either.right(Optional.empty()));
    }

    private synchronized Either<Failure, Lease> acquire(String key, String name, Duration duration) {
        HeldLease current = leases.get(key);
        long now = timer.nowNanos();
        boolean free = current == null || current.endNanos <= now;
        if (!free && !current.name.equals(name)) {
            return Either.left(Failure.of(ErrorCode.LEASE_HELD, key));
        }
        long token = current == null ? 1 : free ? current.token + 1 : current.token;
        leases.put(key, new HeldLease(name, token, now + duration.toNanos()));
        return Either.right(new Lease(key, name, token, duration));
    }

    private synchronized boolean release(String key, String name) {
        HeldLease current = leases.get(key);
        if (current == null || !current.name.equals(name)) {
            return false;
        }
        expireLease(key);
        return true;
    }

    private static <T> CompletableFuture<Either<Failure, T>> completed(Either<Failure, T> answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private record HeldLease(String name, long token, long endNanos) {}

    private record Watcher(String key, CompletableFuture<Either<Failure, Optional<VersionedValue>>> answer) {}
}
