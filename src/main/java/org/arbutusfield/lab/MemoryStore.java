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
 * A store in memory with switches for its faults, limits on its rates and counters of its calls. It is used directly in
 * virtual time, and behind {@link StoreStandIn} over HTTP.
 *
 * <p>Thread-safe: one lock guards the content; futures complete outside it. A call that is never answered completes
 * with {@code STORE_TIMEOUT} when its timeout is over, even if it took effect.
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
     * An empty store without faults or limits.
     *
     * @param timer its clock
     * @param timeout after which an unanswered call fails; a watch has this on top of its wait
     */
    public static MemoryStore create(TimerService timer, Duration timeout) {
        return new MemoryStore(timer, timeout);
    }

    /** Sets what is done to the calls from now on. */
    public synchronized void injectFaults(StoreFaults next) {
        faults = next;
    }

    /** Limits the rates; calls above them are refused without effect. */
    public synchronized void limitRates(double writesPerSecond, double readsPerSecond) {
        writeLimiter = TokenBucket.of(writesPerSecond, timer.nowNanos());
        readLimiter = TokenBucket.of(readsPerSecond, timer.nowNanos());
    }

    /** Ends a lease before its time. */
    public synchronized void expireLease(String key) {
        leases.computeIfPresent(key, (k, h) -> new HeldLease(h.name, h.token, timer.nowNanos()));
    }

    /** The values as they are now, for {@link #restore}. */
    public synchronized Map<String, VersionedValue> snapshot() {
        return Map.copyOf(values);
    }

    /** Puts the values back to an older state, versions included; leases are kept. */
    public synchronized void restore(Map<String, VersionedValue> snapshot) {
        values.clear();
        values.putAll(snapshot);
    }

    /** How many calls of each kind arrived, refused ones included. */
    public synchronized Map<StoreCall.Kind, Long> counts() {
        return new EnumMap<>(counts);
    }

    /** How many calls of one kind arrived. */
    public synchronized long count(StoreCall.Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }

    /** The value as it is now, passing by faults, limits and counters. */
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
    public CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration length) {
        return call(StoreCall.Kind.ACQUIRE_LEASE, key, timeout, () -> completed(acquire(key, holder, length)));
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

    private synchronized Either<Failure, Lease> acquire(String key, String name, Duration length) {
        HeldLease holder = leases.get(key);
        long now = timer.nowNanos();
        boolean free = holder == null || holder.endNanos <= now;
        if (!free && !holder.name.equals(name)) {
            return Either.left(Failure.of(ErrorCode.LEASE_HELD, key));
        }
        long token = holder == null ? 1 : free ? holder.token + 1 : holder.token;
        leases.put(key, new HeldLease(name, token, now + length.toNanos()));
        return Either.right(new Lease(key, name, token, length));
    }

    private synchronized boolean release(String key, String name) {
        HeldLease holder = leases.get(key);
        if (holder == null || !holder.name.equals(name)) {
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
