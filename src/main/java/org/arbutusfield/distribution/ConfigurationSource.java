package org.arbutusfield.distribution;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.Failure;

/** Accepted configurations as the store has them. Futures never complete exceptionally. */
public interface ConfigurationSource {
    /** The store's running configuration; empty before the first note. */
    CompletableFuture<Either<Failure, Optional<RevisionId>>> latest();

    /**
     * Waits until the store's running configuration is another than the known one, or the wait is over. Counts as one
     * read of the store.
     *
     * @param known what the caller has seen; empty for nothing
     * @param wait how long the call may be held
     * @return the store's running configuration as of the end of the call; empty before the first note
     */
    CompletableFuture<Either<Failure, Optional<RevisionId>>> watch(Optional<RevisionId> known, Duration wait);

    /** Loads a configuration's content. */
    CompletableFuture<Either<Failure, Snapshot>> load(RevisionId root);
}
