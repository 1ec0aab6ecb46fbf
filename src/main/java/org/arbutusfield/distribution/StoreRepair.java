package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Writes the configuration in force back into a store that was restored to an older state, so that the next note builds
 * on it.
 */
@FunctionalInterface
public interface StoreRepair {
    /**
     * Makes the snapshot the store's current configuration by compare-and-swap, if the store has an older one.
     * Idempotent; never completes exceptionally.
     *
     * @param inForce the snapshot in force
     * @param token fencing token of the domain leader's lease
     * @return the store's current configuration afterwards
     */
    CompletableFuture<Either<Failure, RevisionId>> restore(Snapshot inForce, long token);

    /** A repair that leaves the store as it is and fails with {@code REVISION_OLDER}. */
    static StoreRepair none() {
        return (inForce, token) ->
                CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.REVISION_OLDER, "store")));
    }
}
