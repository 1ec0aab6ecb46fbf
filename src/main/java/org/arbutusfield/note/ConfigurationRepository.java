package org.arbutusfield.note;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.model.Configuration;
import org.arbutusfield.store.Store;
import org.arbutusfield.store.VersionedValue;
import org.arbutusfield.timer.TimerService;

/**
 * Reads the current configuration from the store and applies release notes to it.
 *
 * <p><b>Problem.</b> A configuration may be larger than the largest value of the store, but a note must take effect
 * atomically. Several writers may apply notes concurrently, and the response to a write may be lost after the write has
 * taken effect.
 *
 * <p><b>Idea.</b> The content is stored in immutable segments under their digests. A manifest lists the segments of one
 * configuration, and the root value refers to the manifest. The new segments and the manifest of a note are written
 * first; then one compare-and-swap of the root activates them. The root also holds the history of applied notes, in
 * which a note whose response was lost is looked up by its id.
 *
 * <p><b>Invariants.</b> Everything that the root refers to is in the store. Each applied note increments the revision
 * by one. A note is in the history if and only if it was applied, until its entry is dropped as one of the oldest.
 * Segments of a note that was not applied remain in the store, unreferenced.
 *
 * <p><b>Example.</b> A note that drains one region at revision 7 writes one segment of drains, the manifest of revision
 * 8 and the root: three writes, regardless of the size of the configuration.
 */
public final class ConfigurationRepository {
    /** Store key of the root value. */
    public static final String ROOT_KEY = "arbutusfield/root";

    private final Store store;
    private final RetryPolicy retryPolicy;
    private final SegmentStore segments;
    private final NoteHistory history;
    private final AtomicReference<ConfigurationSnapshot> lastRead =
            new AtomicReference<>(ConfigurationSnapshot.empty());

    private ConfigurationRepository(Store store, RetryPolicy retryPolicy) {
        this.store = store;
        this.retryPolicy = retryPolicy;
        this.segments = SegmentStore.of(store, retryPolicy);
        this.history = NoteHistory.of(segments);
    }

    /** Creates a repository that retries failed store calls immediately. */
    public static ConfigurationRepository of(Store store) {
        return new ConfigurationRepository(store, RetryPolicy.immediate());
    }

    /** Creates a repository that retries failed store calls with exponential back-off. */
    public static ConfigurationRepository of(Store store, TimerService timer) {
        return new ConfigurationRepository(store, RetryPolicy.withBackoff(timer));
    }

    /** Returns the pointer to the current configuration. Costs one store read. */
    public CompletableFuture<Either<Failure, RootPointer>> pointer() {
        return readRoot().thenApply(read -> read.map(root -> root.state().pointer()));
    }

    /**
     * Returns the current configuration, which is empty before the first note. Reads only the segments that have
     * changed since the last call.
     */
    public CompletableFuture<Either<Failure, Configuration>> latest() {
        return latestSnapshot().thenApply(read -> read.map(ConfigurationSnapshot::configuration));
    }

    /** Returns the current configuration with its encoded form. */
    public CompletableFuture<Either<Failure, ConfigurationSnapshot>> latestSnapshot() {
        return readRoot()
                .thenCompose(read -> read.fold(
                        failure -> completed(Either.left(failure)),
                        root -> load(root.state().pointer())));
    }

    /** Returns up to {@code limit} applied notes, newest first; the oldest ones are dropped from the history. */
    public CompletableFuture<Either<Failure, List<HistoryEntry>>> history(int limit) {
        return readRoot()
                .thenCompose(read -> read.fold(
                        failure -> completed(Either.left(failure)), root -> history.latest(root.state(), limit)));
    }

    /**
     * Returns the configuration at an earlier revision; {@code NOTE_NOT_FOUND} when the revision is not in the history.
     */
    public CompletableFuture<Either<Failure, Configuration>> at(long revision) {
        return readRoot()
                .thenCompose(read -> read.fold(
                        failure -> completed(Either.left(failure)),
                        root -> history.find(root.state(), revision)
                                .thenCompose(found -> found.flatMap(entry -> requireEntry(entry, revision))
                                        .fold(failure -> completed(Either.left(failure)), this::loadConfiguration))));
    }

    /**
     * Applies a note by one compare-and-swap. Idempotent: a note that was applied before, even if others followed it,
     * is reported as applied, with the configuration that resulted from it.
     *
     * <p>Errors: every validation failure of the note; {@code NOTE_CONFLICT}, with the notes applied since, when the
     * current revision is not the one that the note was written against; {@code NOTE_ID_REUSED}; a store failure when
     * this call had no effect; {@code STORE_TIMEOUT} when it is unknown whether the note was applied. A store failure
     * without effect says nothing about earlier calls: after a {@code STORE_TIMEOUT} for a note, apply the note again
     * until it is reported as applied or in conflict.
     */
    public CompletableFuture<Either<List<Failure>, Configuration>> apply(ReleaseNote note) {
        return readRoot().thenCompose(read -> read.fold(failure -> failed(failure), root -> apply(root, note)));
    }

    private CompletableFuture<Either<List<Failure>, Configuration>> apply(VersionedRoot root, ReleaseNote note) {
        return history.find(root.state(), note.id()).thenCompose(found -> {
            if (found.isLeft()) {
                return failed(found.getLeft());
            }
            if (found.get().isPresent()) {
                return alreadyApplied(found.get().get(), note);
            }
            if (note.against() != root.state().revision()) {
                return failed(NoteHistory.conflict(root.state(), note));
            }
            return load(root.state().pointer())
                    .thenCompose(
                            loaded -> loaded.fold(failure -> failed(failure), current -> write(root, current, note)));
        });
    }

    private CompletableFuture<Either<List<Failure>, Configuration>> alreadyApplied(
            HistoryEntry entry, ReleaseNote note) {
        if (!entry.noteDigest().equals(NoteHistory.digestOf(note))) {
            String detail = "applied as revision " + entry.revision() + " with other content";
            return failed(Failure.of(ErrorCode.NOTE_ID_REUSED, note.id(), detail));
        }
        String detail = "in force as revision " + entry.revision() + ", but its content cannot be read at present";
        return loadConfiguration(entry)
                .thenApply(
                        loaded -> loaded.mapLeft(f -> List.of(Failure.of(ErrorCode.STORE_TIMEOUT, note.id(), detail))));
    }

    private CompletableFuture<Either<List<Failure>, Configuration>> write(
            VersionedRoot root, ConfigurationSnapshot current, ReleaseNote note) {
        Either<List<Failure>, Configuration> applied = NoteApplier.apply(current.configuration(), note);
        if (applied.isLeft()) {
            return CompletableFuture.completedFuture(applied);
        }
        ConfigurationSnapshot next = ConfigurationSnapshot.of(applied.get());
        RootState nextRoot = root.state().append(NoteHistory.entryOf(note, next.pointer()));
        List<Segment> newSegments = new ArrayList<>();
        for (String digest : next.missingDigests(current.digests())) {
            newSegments.add(Segment.of(digest, next.segment(digest).orElseThrow()));
        }
        newSegments.add(Segment.of(next.pointer().digest(), next.manifest()));
        root.state().overflow().ifPresent(newSegments::add);
        return segments.writeAll(newSegments)
                .thenCompose(written -> written.fold(
                        failure -> failed(noEffect(failure, note)),
                        count -> RootWrite.of(store, retryPolicy, root.version(), nextRoot.encode())
                                .send()
                                .thenCompose(outcome -> outcome.fold(
                                        failure -> failed(withNoteSubject(failure, note)),
                                        rootOutcome -> resolveOutcome(rootOutcome, next, note)))));
    }

    private CompletableFuture<Either<List<Failure>, Configuration>> resolveOutcome(
            RootWrite.Outcome outcome, ConfigurationSnapshot next, ReleaseNote note) {
        if (outcome == RootWrite.Outcome.APPLIED) {
            lastRead.set(next);
            return CompletableFuture.completedFuture(Either.right(next.configuration()));
        }
        return retryPolicy.retry(this::readRoot).thenCompose(read -> {
            if (read.isLeft()) {
                return failed(unknownOutcome(note));
            }
            RootState root = read.get().state();
            return history.find(root, note.id()).thenCompose(found -> {
                if (found.isLeft()) {
                    return failed(unknownOutcome(note));
                }
                if (found.get().map(HistoryEntry::pointer).equals(Optional.of(next.pointer()))) {
                    return CompletableFuture.completedFuture(Either.right(next.configuration()));
                }
                return found.get().isPresent()
                        ? alreadyApplied(found.get().get(), note)
                        : failed(NoteHistory.conflict(root, note));
            });
        });
    }

    private CompletableFuture<Either<Failure, Configuration>> loadConfiguration(HistoryEntry entry) {
        return load(entry.pointer()).thenApply(loaded -> loaded.map(ConfigurationSnapshot::configuration));
    }

    private CompletableFuture<Either<Failure, ConfigurationSnapshot>> load(RootPointer pointer) {
        ConfigurationSnapshot cached = lastRead.get();
        if (cached.pointer().equals(pointer)) {
            return completed(Either.right(cached));
        }
        if (pointer.equals(RootPointer.EMPTY)) {
            return completed(Either.right(ConfigurationSnapshot.empty()));
        }
        return segments.read(pointer.digest())
                .thenCompose(manifest -> manifest.flatMap(bytes -> ConfigurationSnapshot.digestsOf(pointer, bytes))
                        .fold(
                                failure -> completed(Either.left(failure)),
                                digests -> assemble(pointer, manifest.get(), digests)));
    }

    private CompletableFuture<Either<Failure, ConfigurationSnapshot>> assemble(
            RootPointer pointer, byte[] manifest, List<String> digests) {
        ConfigurationSnapshot cached = lastRead.get();
        List<String> missing =
                digests.stream().filter(d -> cached.segment(d).isEmpty()).toList();
        return segments.readAll(missing)
                .thenApply(read -> read.flatMap(found -> {
                    Map<String, byte[]> parts = new HashMap<>(found);
                    Either<Failure, ConfigurationSnapshot> loaded = ConfigurationSnapshot.assemble(
                            pointer,
                            manifest,
                            d -> Optional.ofNullable(parts.get(d)).or(() -> cached.segment(d)));
                    loaded.peek(lastRead::set);
                    return loaded;
                }));
    }

    private CompletableFuture<Either<Failure, VersionedRoot>> readRoot() {
        return store.read(ROOT_KEY).thenApply(read -> read.flatMap(ConfigurationRepository::decode));
    }

    private static Either<Failure, VersionedRoot> decode(Optional<VersionedValue> value) {
        if (value.isEmpty()) {
            return Either.right(new VersionedRoot(0, RootState.empty()));
        }
        return RootState.decode(value.get().value())
                .map(state -> new VersionedRoot(value.get().version(), state));
    }

    private static Either<Failure, HistoryEntry> requireEntry(Optional<HistoryEntry> entry, long revision) {
        return entry.<Either<Failure, HistoryEntry>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.of(ErrorCode.NOTE_NOT_FOUND, "revision " + revision)));
    }

    /**
     * A failure before the write of the root. The note has no effect then, even if some of its segments were written.
     */
    private static Failure noEffect(Failure failure, ReleaseNote note) {
        ErrorCode code = failure.notRun() ? failure.code() : ErrorCode.STORE_UNAVAILABLE;
        return Failure.of(code, note.id(), "this call did not apply the note");
    }

    private static Failure unknownOutcome(ReleaseNote note) {
        String detail = "it is unknown whether the note is in force: apply it again to find out";
        return Failure.of(ErrorCode.STORE_TIMEOUT, note.id(), detail);
    }

    private static Failure withNoteSubject(Failure failure, ReleaseNote note) {
        return Failure.of(failure.code(), note.id(), failure.detail());
    }

    private static CompletableFuture<Either<List<Failure>, Configuration>> failed(Failure failure) {
        return CompletableFuture.completedFuture(Either.left(List.of(failure)));
    }

    private static <T> CompletableFuture<Either<Failure, T>> completed(Either<Failure, T> result) {
        return CompletableFuture.completedFuture(result);
    }

    private record VersionedRoot(long version, RootState state) {}
}
