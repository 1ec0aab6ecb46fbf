package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.Versioned;

/** The running state as kept in the store: read it, and move it on by a release note. */
public final class ConfigurationRepository {
    /** Store key of the running state. */
    public static final String ROOT_KEY = "arbutusfield/root";

    private final Store store;

    private ConfigurationRepository(Store store) {
        this.store = store;
    }

    /** A repository over a store. */
    public static ConfigurationRepository of(Store store) {
        return new ConfigurationRepository(store);
    }

    /** The running state; the empty one before the first note. */
    public CompletableFuture<Either<Failure, Configuration>> latest() {
        return store.read(ROOT_KEY).thenApply(r -> r.flatMap(ConfigurationRepository::decode));
    }

    /**
     * Applies a note by one compare-and-swap. Idempotent: a note that is already the running one is reported as
     * applied, so that an answer lost after the write is found out by calling again.
     */
    public CompletableFuture<Either<List<Failure>, Configuration>> apply(ReleaseNote note) {
        return store.read(ROOT_KEY).thenCompose(read -> {
            Either<Failure, Configuration> state = read.flatMap(ConfigurationRepository::decode);
            if (state.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(List.of(state.getLeft())));
            }
            if (state.get().noteId().equals(note.id())) {
                return CompletableFuture.completedFuture(Either.right(state.get()));
            }
            return write(read.get().map(Versioned::version).orElse(0L), NoteApplier.apply(state.get(), note), note);
        });
    }

    private CompletableFuture<Either<List<Failure>, Configuration>> write(
            long version, Either<List<Failure>, Configuration> next, ReleaseNote note) {
        if (next.isLeft()) {
            return CompletableFuture.completedFuture(next);
        }
        return store.compareAndSwap(ROOT_KEY, version, ConfigurationCodec.encode(next.get()))
                .thenCompose(written -> {
                    if (written.isRight()) {
                        return CompletableFuture.completedFuture(next);
                    }
                    if (written.getLeft().code() == ErrorCode.STORE_UNAVAILABLE) {
                        return CompletableFuture.completedFuture(Either.left(List.of(written.getLeft())));
                    }
                    return confirm(note, written.getLeft());
                });
    }

    private CompletableFuture<Either<List<Failure>, Configuration>> confirm(ReleaseNote note, Failure failure) {
        return latest().thenApply(state -> {
            if (state.isRight() && state.get().noteId().equals(note.id())) {
                return Either.right(state.get());
            }
            ErrorCode code = failure.code() == ErrorCode.STORE_CONFLICT ? ErrorCode.NOTE_CONFLICT : failure.code();
            return Either.left(List.of(Failure.of(code, note.id())));
        });
    }

    private static Either<Failure, Configuration> decode(Optional<Versioned> value) {
        if (value.isEmpty()) {
            return Either.right(Configuration.empty());
        }
        return ConfigurationCodec.decode(value.get().value());
    }
}
