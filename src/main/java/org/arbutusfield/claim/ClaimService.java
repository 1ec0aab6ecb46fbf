package org.arbutusfield.claim;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.arbutusfield.error.Failure;
import org.arbutusfield.proxy.IdempotencyGuard;
import org.arbutusfield.proxy.KeyClaim;
import org.arbutusfield.proxy.KeyOutcome;
import org.arbutusfield.store.Store;
import org.arbutusfield.timer.TimerService;

/**
 * Claims idempotency keys in the store before their requests run. Thread-safe; each shard of keys has its own
 * {@link ClaimShardWriter}.
 */
public final class ClaimService implements IdempotencyGuard {
    private static final String KEY_PREFIX = "arbutusfield/claims/";

    private final String holder;
    private final List<ClaimShardWriter> writers;
    private final AtomicInteger lastSequence = new AtomicInteger();

    private ClaimService(String holder, List<ClaimShardWriter> writers) {
        this.holder = holder;
        this.writers = writers;
    }

    /**
     * Creates the service of one host.
     *
     * @param store holds the claims
     * @param timer monotonic time
     * @param wallSeconds wall clock in seconds; the clocks of hosts must differ by much less than the run limit
     * @param holder host and incarnation, at most 100 ASCII characters, never used by another process
     * @param settings limits
     */
    public static ClaimService create(
            Store store, TimerService timer, LongSupplier wallSeconds, String holder, ClaimSettings settings) {
        WriteRateLimiter writeLimiter = WriteRateLimiter.of(timer, settings.writesPerSecond());
        List<ClaimShardWriter> writers = new ArrayList<>();
        for (int shard = 0; shard < settings.shards(); shard++) {
            writers.add(ClaimShardWriter.of(store, timer, wallSeconds, writeLimiter, settings, KEY_PREFIX + shard));
        }
        return new ClaimService(holder, List.copyOf(writers));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Errors: {@code KEY_IN_PROGRESS}, {@code KEY_OUTCOME_UNKNOWN}, {@code KEY_COMPLETED}; {@code CLAIM_UNAVAILABLE}
     * with a Retry-After if the store fails or there is no room for further claims. In all these cases the request is
     * not run.
     */
    @Override
    public CompletableFuture<Either<Failure, KeyClaim>> claim(
            String service, String key, String requestId, String fingerprint) {
        ClaimKey hashed = ClaimKey.of(service, key);
        ClaimShardWriter writer = writers.get(hashed.shard(writers.size()));
        int sequence = lastSequence.incrementAndGet();
        return writer.begin(change(ClaimChange.Kind.BEGIN, hashed, sequence, 0))
                .thenApply(result -> result.flatMap(decision -> decision.granted()
                        ? Either.right(outcome -> writer.finish(endOfClaim(hashed, sequence, outcome)))
                        : Either.left(decision.failure(key))));
    }

    private ClaimChange endOfClaim(ClaimKey key, int sequence, KeyOutcome outcome) {
        return switch (outcome.kind()) {
            case NOT_RUN -> change(ClaimChange.Kind.REMOVE, key, sequence, 0);
            case ANSWERED -> change(ClaimChange.Kind.COMPLETE, key, sequence, outcome.status());
            case UNKNOWN -> change(ClaimChange.Kind.MARK_UNKNOWN, key, sequence, 0);
        };
    }

    private ClaimChange change(ClaimChange.Kind kind, ClaimKey key, int sequence, int status) {
        return new ClaimChange(kind, key, holder, sequence, status);
    }
}
