package org.arbutusfield.lab.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.distribution.ConfigurationSource;
import org.arbutusfield.distribution.RevisionId;
import org.arbutusfield.distribution.Snapshot;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.store.Lease;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;
import org.arbutusfield.timer.TimerService;

/**
 * Client of one host for an {@link InMemorySnapshotStore}: a {@link Store} that supports only leases, and a source of
 * configurations.
 */
public final class SnapshotStoreClient implements Store, ConfigurationSource {
    private final InMemorySnapshotStore store;
    private final TimerService timer;

    SnapshotStoreClient(InMemorySnapshotStore store, TimerService timer) {
        this.store = store;
        this.timer = timer;
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<RevisionId>>> latest() {
        return store.call(timer, false, () -> Either.right(store.current().map(Snapshot::revisionId)));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<RevisionId>>> watch(Optional<RevisionId> known, Duration wait) {
        return store.watch(timer, known, wait);
    }

    @Override
    public CompletableFuture<Either<Failure, Snapshot>> load(RevisionId root) {
        return store.call(
                timer,
                false,
                () -> store.accepted().stream()
                        .filter(snapshot -> snapshot.revisionId().equals(root))
                        .findFirst()
                        .<Either<Failure, Snapshot>>map(Either::right)
                        .orElse(Either.left(Failure.of(ErrorCode.STORE_CORRUPT, "revision " + root.revision()))));
    }

    /** Replaces an older stored configuration by the running one. */
    public CompletableFuture<Either<Failure, RevisionId>> restore(Snapshot running, long token) {
        return store.call(timer, true, () -> store.restoreIfOlder(running));
    }

    @Override
    public CompletableFuture<Either<Failure, Lease>> acquireLease(String key, String holder, Duration length) {
        return store.call(timer, true, () -> store.lease(key, holder, length));
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> releaseLease(String key, String holder) {
        return store.call(timer, true, () -> store.release(key, holder));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key) {
        return store.call(timer, false, () -> Either.right(Optional.empty()));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, long expectedVersion, byte[] value) {
        return store.call(timer, true, () -> Either.left(Failure.of(ErrorCode.STORE_CONFLICT, key)));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(
            String key, long afterVersion, Duration wait) {
        return store.call(timer, false, () -> Either.right(Optional.empty()));
    }
}
