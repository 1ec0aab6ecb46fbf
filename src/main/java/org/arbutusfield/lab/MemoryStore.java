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
    private final Map<String, Holder> holders = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final Map<StoreCall.Kind, Long> counts = new EnumMap<>(StoreCall.Kind.class);
    private StoreFaults faults = StoreFaults.none();
    private CallRate writes;
    private CallRate reads;

    private MemoryStore(TimerService timer, Duration timeout) {
        this.timer = timer;
        this.timeout = timeout;
        this.writes = CallRate.of(Double.MAX_VALUE, 0);
        this.reads = CallRate.of(Double.MAX_VALUE, 0);
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
    public synchronized void faults(StoreFaults next) {
        faults = next;
    }

    /** Limits the rates; calls above them are refused without effect. */
    public synchronized void limitRates(double writesPerSecond, double readsPerSecond) {
        writes = CallRate.of(writesPerSecond, timer.nowNanos());
        reads = CallRate.of(readsPerSecond, timer.nowNanos());
    }

    /** Ends a lease before its time. */
    public synchronized void lapseLease(String key) {
        holders.computeIfPresent(key, (k, h) -> new Holder(h.name, h.token, timer.nowNanos()));
    }

    /** The values as they are now, for {@link #restore}. */
    public synchronized Map<String, VersionedValue> image() {
        return Map.copyOf(values);
    }

    /** Puts the values back to an older state, versions included; leases are kept. */
    public synchronized void restore(Map<String, VersionedValue> image) {
        values.clear();
        values.putAll(image);
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
        return call(StoreCall.Kind.READ, key, timeout, () -> done(Either.right(peek(key))));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, long expectedVersion, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            return done(Either.left(Failure.of(ErrorCode.STORE_VALUE_TOO_LARGE, key)));
        }
        byte[] copy = value.clone();
        return call(StoreCall.Kind.WRITE, key, timeout, () -> done(swap(key, expectedVersion, copy)));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(
            String key, long afterVersion, Duration wait) {
        return call(StoreCall.Kind.WATCH, key, timeout.plus(wait), () -> await(key, afterVersion, wait));
    }

    @Override
    public CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration length) {
        return call(StoreCall.Kind.ACQUIRE_LEASE, key, timeout, () -> done(acquire(key, holder, length)));
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder) {
        return call(StoreCall.Kind.RELEASE_LEASE, key, timeout, () -> done(Either.right(release(key, holder))));
    }

    private <T> CompletableFuture<Either<Failure, T>> call(
            StoreCall.Kind kind,
            String key,
            Duration limit,
            Supplier<CompletableFuture<Either<Failure, T>>> operation) {
        StoreFault fault = admit(new StoreCall(kind, key));
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        TimerService.ScheduledTask late =
                timer.after(limit, () -> result.complete(Either.left(Failure.of(ErrorCode.STORE_TIMEOUT, key))));
        result.whenComplete((answer, error) -> late.cancel());
        after(fault.requestDelay(), () -> {
            if (fault.effect() == StoreFault.Effect.REFUSED) {
                result.complete(Either.left(Failure.of(ErrorCode.STORE_UNAVAILABLE, key)));
                return;
            }
            if (fault.effect() == StoreFault.Effect.LOST_BEFORE) {
                return;
            }
            operation
                    .get()
                    .thenAccept(answer -> after(fault.answerDelay(), () -> {
                        if (fault.effect() != StoreFault.Effect.LOST_AFTER) {
                            result.complete(answer);
                        }
                    }));
        });
        return result;
    }

    private synchronized StoreFault admit(StoreCall call) {
        counts.merge(call.kind(), 1L, Long::sum);
        CallRate rate = call.writes() ? writes : reads;
        return rate.take(timer.nowNanos()) ? faults.faultOf(call) : StoreFault.down();
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
        List<Waiter> woken;
        synchronized (this) {
            long version = Optional.ofNullable(values.get(key))
                    .map(VersionedValue::version)
                    .orElse(0L);
            if (version != expectedVersion) {
                return Either.left(Failure.of(ErrorCode.STORE_CONFLICT, key));
            }
            next = VersionedValue.of(version + 1, value);
            values.put(key, next);
            woken = waiters.stream().filter(w -> w.key.equals(key)).toList();
            waiters.removeAll(woken);
        }
        woken.forEach(w -> w.answer.complete(Either.right(Optional.of(next))));
        return Either.right(next.version());
    }

    private CompletableFuture<Either<Failure, Optional<VersionedValue>>> await(
            String key, long afterVersion, Duration wait) {
        Waiter waiter = new Waiter(key, new CompletableFuture<>());
        synchronized (this) {
            Optional<VersionedValue> present =
                    Optional.ofNullable(values.get(key)).filter(v -> v.version() > afterVersion);
            if (present.isPresent()) {
                return done(Either.right(present));
            }
            waiters.add(waiter);
        }
        timer.after(wait, () -> giveUp(waiter));
        return waiter.answer;
    }

    private void giveUp(Waiter waiter) {
        synchronized (this) {
            waiters.remove(waiter);
        }
        waiter.answer.complete(Either.right(Optional.empty()));
    }

    private synchronized Either<Failure, Lease> acquire(String key, String name, Duration length) {
        Holder holder = holders.get(key);
        long now = timer.nowNanos();
        boolean free = holder == null || holder.endNanos <= now;
        if (!free && !holder.name.equals(name)) {
            return Either.left(Failure.of(ErrorCode.LEASE_HELD, key));
        }
        long token = holder == null ? 1 : free ? holder.token + 1 : holder.token;
        holders.put(key, new Holder(name, token, now + length.toNanos()));
        return Either.right(new Lease(key, name, token, length));
    }

    private synchronized boolean release(String key, String name) {
        Holder holder = holders.get(key);
        if (holder == null || !holder.name.equals(name)) {
            return false;
        }
        lapseLease(key);
        return true;
    }

    private static <T> CompletableFuture<Either<Failure, T>> done(Either<Failure, T> answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private record Holder(String name, long token, long endNanos) {}

    private record Waiter(String key, CompletableFuture<Either<Failure, Optional<VersionedValue>>> answer) {}
}
