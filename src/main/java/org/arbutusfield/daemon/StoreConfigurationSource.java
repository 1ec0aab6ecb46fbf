package org.arbutusfield.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusfield.distribution.ConfigurationSource;
import org.arbutusfield.distribution.RevisionId;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.note.ConfigurationSnapshot;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;

/** Reads the current configuration from the store, for distribution to the hosts. */
final class StoreConfigurationSource implements ConfigurationSource {
    private final Store store;
    private final ConfigurationRepository repository;
    private final AtomicLong lastVersion = new AtomicLong();

    private StoreConfigurationSource(Store store) {
        this.store = store;
        this.repository = ConfigurationRepository.of(store);
    }

    /** Creates a source that reads from the store. */
    static StoreConfigurationSource of(Store store) {
        return new StoreConfigurationSource(store);
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<RevisionId>>> latest() {
        return repository.pointer().thenApply(r -> r.map(StoreConfigurationSource::toRevisionId));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<RevisionId>>> watch(Optional<RevisionId> known, Duration wait) {
        long after = known.isEmpty() ? 0 : lastVersion.get();
        return store.watch(ConfigurationRepository.ROOT_KEY, after, wait)
                .thenCompose(result -> result.isLeft()
                        ? CompletableFuture.completedFuture(Either.left(result.getLeft()))
                        : result.get().map(this::changed).orElseGet(() -> unchanged(known)));
    }

    @Override
    public CompletableFuture<Either<Failure, Snapshot>> load(RevisionId revisionId) {
        return repository
                .latestSnapshot()
                .thenApply(r -> r.flatMap(stored -> toRevisionId(stored).equals(revisionId)
                        ? Either.right(Snapshot.of(revisionId, stored.encode()))
                        : Either.left(Failure.of(ErrorCode.STORE_CONFLICT, "revision " + revisionId.revision()))));
    }

    private CompletableFuture<Either<Failure, Optional<RevisionId>>> changed(VersionedValue value) {
        return latest().thenApply(result -> result.peek(pointer -> lastVersion.set(value.version())));
    }

    private static CompletableFuture<Either<Failure, Optional<RevisionId>>> unchanged(Optional<RevisionId> known) {
        return CompletableFuture.completedFuture(Either.right(known));
    }

    private static Optional<RevisionId> toRevisionId(org.arbutusfield.note.RootPointer stored) {
        return stored.revision() == 0
                ? Optional.empty()
                : Optional.of(new RevisionId(stored.revision(), stored.digest()));
    }

    private static RevisionId toRevisionId(ConfigurationSnapshot stored) {
        return new RevisionId(stored.pointer().revision(), stored.pointer().digest());
    }
}
