package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/** Reads accepted configurations from the store. Futures never complete exceptionally. */
public interface ConfigurationSource {
    /** Identifies the store's current configuration; empty before the first note. */
    CompletableFuture<Either<Failure, Optional<RevisionId>>> latest();

    /**
     * Long poll: waits until the store's current configuration differs from the known one, or the time is over. Counts
     * as one read of the store.
     *
     * @param known the last known configuration; empty if none is known
     * @param wait longest time to wait
     * @return the store's current configuration at the end of the call; empty before the first note
     */
    CompletableFuture<Either<Failure, Optional<RevisionId>>> watch(Optional<RevisionId> known, Duration wait);

    /** Loads a configuration's content. */
    CompletableFuture<Either<Failure, Snapshot>> load(RevisionId revisionId);
}
