package org.arbutusfield.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.note.ConfigurationRepository;
import org.arbutusfield.note.ConfigurationSnapshot;
import org.arbutusfield.spread.ConfigurationSource;
import org.arbutusfield.spread.RootPointer;
import org.arbutusfield.spread.Snapshot;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.Versioned;

/** The store's running state as the spread between hosts takes it. */
final class StoredSource implements ConfigurationSource {
    private final Store store;
    private final ConfigurationRepository repository;
    private final AtomicLong seenVersion = new AtomicLong();

    private StoredSource(Store store) {
        this.store = store;
        this.repository = ConfigurationRepository.of(store);
    }

    /** A source over a store. */
    static StoredSource of(Store store) {
        return new StoredSource(store);
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<RootPointer>>> latest() {
        return repository.pointer().thenApply(r -> r.map(StoredSource::present));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<RootPointer>>> watch(Optional<RootPointer> known, Duration wait) {
        long after = known.isEmpty() ? 0 : seenVersion.get();
        return store.watch(ConfigurationRepository.ROOT_KEY, after, wait)
                .thenCompose(result -> result.isLeft()
                        ? CompletableFuture.completedFuture(Either.left(result.getLeft()))
                        : result.get().map(this::changed).orElseGet(() -> unchanged(known)));
    }

    @Override
    public CompletableFuture<Either<Failure, Snapshot>> load(RootPointer root) {
        return repository
                .latestSnapshot()
                .thenApply(r -> r.flatMap(stored -> pointer(stored).equals(root)
                        ? Either.right(Snapshot.of(root, stored.encode()))
                        : Either.left(Failure.of(ErrorCode.STORE_CONFLICT, "revision " + root.revision()))));
    }

    private CompletableFuture<Either<Failure, Optional<RootPointer>>> changed(Versioned value) {
        return latest().thenApply(result -> result.peek(pointer -> seenVersion.set(value.version())));
    }

    private static CompletableFuture<Either<Failure, Optional<RootPointer>>> unchanged(Optional<RootPointer> known) {
        return CompletableFuture.completedFuture(Either.right(known));
    }

    private static Optional<RootPointer> present(org.arbutusfield.note.RootPointer stored) {
        return stored.revision() == 0
                ? Optional.empty()
                : Optional.of(new RootPointer(stored.revision(), stored.digest()));
    }

    private static RootPointer pointer(ConfigurationSnapshot stored) {
        return new RootPointer(stored.pointer().revision(), stored.pointer().digest());
    }
}
