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
 * The running state as kept in the store: read it, and move it on by a release note.
 *
 * <p><b>Problem.</b> The state is larger than one value of the store, and yet a note must become the running state as a
 * whole; writers race; answers get lost after the write took effect.
 *
 * <p><b>Idea.</b> The content lies in immutable segments named by their digests, a manifest names the segments of one
 * state, and the root names the manifest. A note's new segments and manifest are written first; then one
 * compare-and-swap of the root makes them the running state. The root also keeps the history of applied notes, in which
 * a note whose answer was lost is found by its own id.
 *
 * <p><b>Invariants.</b> Whatever the root names is in the store. Revisions grow by one with each accepted note. A note
 * is in the history exactly when it was accepted. Segments of a note that was refused stay behind unreferenced.
 *
 * <p><b>Example.</b> A note that drains one region at revision 7 writes one segment of drains, the manifest of revision
 * 8 and the root: three writes, however large the state is.
 */
public final class ConfigurationRepository {
    /** Store key of the running state. */
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

    /** A repository over a store that repeats failed calls at once. */
    public static ConfigurationRepository of(Store store) {
        return new ConfigurationRepository(store, RetryPolicy.immediate());
    }

    /** A repository over a store that repeats failed calls after a pause. */
    public static ConfigurationRepository of(Store store, TimerService timer) {
        return new ConfigurationRepository(store, RetryPolicy.withBackoff(timer));
    }

    /** Names the running state; one read. */
    public CompletableFuture<Either<Failure, RootPointer>> pointer() {
        return readRoot().thenApply(read -> read.map(root -> root.state().pointer()));
    }

    /** The running state; the empty one before the first note. Reads only what changed since the last call. */
    public CompletableFuture<Either<Failure, Configuration>> latest() {
        return latestSnapshot().thenApply(read -> read.map(ConfigurationSnapshot::configuration));
    }

    /** The running state with its form in bytes. */
    public CompletableFuture<Either<Failure, ConfigurationSnapshot>> latestSnapshot() {
        return readRoot()
                .thenCompose(read -> read.fold(
                        failure -> completed(Either.left(failure)),
                        root -> load(root.state().pointer())));
    }

    /** The applied notes, newest first, as far back as they are kept. */
    public CompletableFuture<Either<Failure, List<HistoryEntry>>> history(int limit) {
        return readRoot()
                .thenCompose(read -> read.fold(
                        failure -> completed(Either.left(failure)), root -> history.latest(root.state(), limit)));
    }

    /** The state at an earlier revision; {@code NOTE_NOT_FOUND} when it is no longer known. */
    public CompletableFuture<Either<Failure, Configuration>> at(long revision) {
        return readRoot()
                .thenCompose(read -> read.fold(
                        failure -> completed(Either.left(failure)),
                        root -> history.find(root.state(), revision)
                                .thenCompose(found -> found.flatMap(entry -> requireEntry(entry, revision))
                                        .fold(failure -> completed(Either.left(failure)), this::loadState))));
    }

    /**
     * Applies a note by one compare-and-swap. Idempotent: a note that was applied before, even if others followed, is
     * reported as applied with the state that it led to.
     *
     * <p>Errors: every fault of the note; {@code NOTE_CONFLICT} with what moved when the state is not the one that it
     * was written against; {@code NOTE_ID_REUSED}; a store failure without effect; {@code STORE_TIMEOUT} when it could
     * not be found out whether the note is in force. A failure without effect speaks of this call only: after a
     * {@code STORE_TIMEOUT} for a note, apply it again until it is reported as applied or in conflict.
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
        String detail = "in force as revision " + entry.revision() + ", whose content cannot be read now";
        return loadState(entry)
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

    private CompletableFuture<Either<Failure, Configuration>> loadState(HistoryEntry entry) {
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

    /** Before the root is written, a note has no effect, whatever became of its segments. */
    private static Failure noEffect(Failure failure, ReleaseNote note) {
        ErrorCode code = failure.notRun() ? failure.code() : ErrorCode.STORE_UNAVAILABLE;
        return Failure.of(code, note.id(), "this call did not apply the note");
    }

    private static Failure unknownOutcome(ReleaseNote note) {
        String detail = "whether the note is in force is unknown: apply it again to find out";
        return Failure.of(ErrorCode.STORE_TIMEOUT, note.id(), detail);
    }

    private static Failure withNoteSubject(Failure failure, ReleaseNote note) {
        return Failure.of(failure.code(), note.id(), failure.detail());
    }

    private static CompletableFuture<Either<List<Failure>, Configuration>> failed(Failure failure) {
        return CompletableFuture.completedFuture(Either.left(List.of(failure)));
    }

    private static <T> CompletableFuture<Either<Failure, T>> completed(Either<Failure, T> answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private record VersionedRoot(long version, RootState state) {}
}
