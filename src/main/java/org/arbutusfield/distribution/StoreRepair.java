package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * Writes a running configuration back into a store that was restored to an older state, so that the next note builds on
 * what is in force.
 */
@FunctionalInterface
public interface StoreRepair {
    /**
     * Makes the snapshot the store's running configuration by compare-and-swap, if the store has an older one.
     * Idempotent; never completes exceptionally.
     *
     * @param running what is in force
     * @param token fencing token of the domain leader's lease
     * @return what the store has afterwards
     */
    CompletableFuture<Either<Failure, RevisionId>> restore(Snapshot running, long token);

    /** Leaves the store as it is. */
    static StoreRepair none() {
        return (running, token) ->
                CompletableFuture.completedFuture(Either.left(Failure.of(ErrorCode.REVISION_OLDER, "store")));
    }
}
