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
 * Claims idempotency keys in the store before requests run. Thread-safe; the state lies in lanes, one for each shard of
 * keys.
 */
public final class ClaimService implements IdempotencyGuard {
    private static final String KEY_PREFIX = "arbutusfield/claims/";

    private final String holder;
    private final List<ClaimShardWriter> lanes;
    private final AtomicInteger sequences = new AtomicInteger();

    private ClaimService(String holder, List<ClaimShardWriter> lanes) {
        this.holder = holder;
        this.lanes = lanes;
    }

    /**
     * A service for one host.
     *
     * @param store keeps the claims
     * @param timer monotonic time
     * @param wallSeconds wall clock in seconds; hosts' clocks may differ by much less than the run limit
     * @param holder host and incarnation, at most 100 ASCII characters, never used by another process
     * @param settings limits
     */
    public static ClaimService create(
            Store store, TimerService timer, LongSupplier wallSeconds, String holder, ClaimSettings settings) {
        WriteRateLimiter budget = WriteRateLimiter.of(timer, settings.writesPerSecond());
        List<ClaimShardWriter> lanes = new ArrayList<>();
        for (int shard = 0; shard < settings.shards(); shard++) {
            lanes.add(ClaimShardWriter.of(store, timer, wallSeconds, budget, settings, KEY_PREFIX + shard));
        }
        return new ClaimService(holder, List.copyOf(lanes));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Errors: {@code KEY_IN_PROGRESS}, {@code KEY_OUTCOME_UNKNOWN}, {@code KEY_COMPLETED}; {@code CLAIM_UNAVAILABLE}
     * with a time to retry when the store fails or no room is left. The request is not run in any of these cases.
     */
    @Override
    public CompletableFuture<Either<Failure, KeyClaim>> claim(
            String service, String key, String requestId, String fingerprint) {
        ClaimKey hashed = ClaimKey.of(service, key);
        ClaimShardWriter lane = lanes.get(hashed.shard(lanes.size()));
        int sequence = sequences.incrementAndGet();
        return lane.begin(change(ClaimChange.Kind.BEGIN, hashed, sequence, 0))
                .thenApply(answer -> answer.flatMap(decision -> decision.granted()
                        ? Either.right(outcome -> lane.finish(end(hashed, sequence, outcome)))
                        : Either.left(decision.failure(key))));
    }

    private ClaimChange end(ClaimKey key, int sequence, KeyOutcome outcome) {
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
