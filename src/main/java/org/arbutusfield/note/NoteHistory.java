package org.arbutusfield.note;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.misc.Digests;
import org.arbutusfield.model.Entity;

/** History of applied notes. Recent entries are in the root value, older ones in segments that the root refers to. */
final class NoteHistory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_LISTED_ITEMS = 8;
    private static final int MAX_LISTED_NOTES = 5;

    private final SegmentStore segments;

    private NoteHistory(SegmentStore segments) {
        this.segments = segments;
    }

    /** Creates a history that reads older entries from the segment store. */
    static NoteHistory of(SegmentStore segments) {
        return new NoteHistory(segments);
    }

    /** Returns the digest of the content of a note. */
    static String digestOf(ReleaseNote note) {
        ObjectNode content = JSON.createObjectNode()
                .put("id", note.id())
                .put("against", note.against())
                .put("force", note.force());
        addItems(content.putArray("added"), note.added());
        addItems(content.putArray("changed"), note.changed());
        ArrayNode withdrawn = content.putArray("withdrawn");
        note.withdrawn().forEach(key -> withdrawn.add(nameOf(key)));
        return Digests.sha256(content.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Creates the entry of a note that resulted in the given revision. */
    static HistoryEntry entryOf(ReleaseNote note, RootPointer pointer) {
        Set<String> items = itemsOf(note);
        return new HistoryEntry(
                pointer.revision(),
                note.id(),
                digestOf(note),
                pointer.digest(),
                items.size(),
                items.stream().limit(MAX_LISTED_ITEMS).toList());
    }

    /**
     * Creates a {@code NOTE_CONFLICT} that lists the notes applied since the note was written, the last
     * {@value #MAX_LISTED_NOTES} at most.
     */
    static Failure conflict(RootState root, ReleaseNote note) {
        if (note.against() > root.revision()) {
            String detail = "written against " + note.against() + ", the store holds only " + root.revision();
            return Failure.of(ErrorCode.NOTE_CONFLICT, note.id(), detail);
        }
        Set<String> ownItems = itemsOf(note);
        List<HistoryEntry> since = root.recent().stream()
                .filter(e -> e.revision() > note.against())
                .toList();
        String interveningNotes = since.stream()
                .skip(Math.max(0, since.size() - MAX_LISTED_NOTES))
                .map(e -> describe(e, ownItems))
                .collect(Collectors.joining("; "));
        String detail = "written against " + note.against() + ", running is " + root.revision() + "; since then: "
                + interveningNotes;
        return Failure.of(ErrorCode.NOTE_CONFLICT, note.id(), detail);
    }

    /** Finds the entry of a note by its id among recent and older entries. */
    CompletableFuture<Either<Failure, Optional<HistoryEntry>>> find(RootState root, String noteId) {
        Optional<HistoryEntry> recent = root.findRecent(noteId);
        if (recent.isPresent()) {
            return CompletableFuture.completedFuture(Either.right(recent));
        }
        List<HistorySegment> candidates =
                root.older().stream().filter(s -> s.mightContain(noteId)).toList();
        return read(candidates)
                .thenApply(result -> result.map(entries ->
                        entries.stream().filter(e -> e.noteId().equals(noteId)).findFirst()));
    }

    /** Finds the entry of a revision among recent and older entries. */
    CompletableFuture<Either<Failure, Optional<HistoryEntry>>> find(RootState root, long revision) {
        List<HistorySegment> candidates = root.older().stream()
                .filter(s -> s.firstRevision() <= revision && revision <= s.lastRevision())
                .toList();
        return read(candidates)
                .thenApply(result -> result.map(entries -> Stream.concat(entries.stream(), root.recent().stream())
                        .filter(e -> e.revision() == revision)
                        .findFirst()));
    }

    /** Returns the latest entries, newest first. */
    CompletableFuture<Either<Failure, List<HistoryEntry>>> latest(RootState root, int limit) {
        int older = Math.max(0, limit - root.recent().size());
        int segmentCount = older / RootState.SEGMENT_ENTRIES + 1;
        int skipped =
                older == 0 ? root.older().size() : Math.max(0, root.older().size() - segmentCount);
        return read(root.older().subList(skipped, root.older().size()))
                .thenApply(result -> result.map(entries -> {
                    List<HistoryEntry> all = new ArrayList<>(entries);
                    all.addAll(root.recent());
                    Collections.reverse(all);
                    return List.copyOf(all.subList(0, Math.min(limit, all.size())));
                }));
    }

    private CompletableFuture<Either<Failure, List<HistoryEntry>>> read(List<HistorySegment> historySegments) {
        List<String> digests =
                historySegments.stream().map(HistorySegment::digest).toList();
        return segments.readAll(digests).thenApply(result -> result.flatMap(found -> decode(found.values())));
    }

    private static Either<Failure, List<HistoryEntry>> decode(Collection<byte[]> encodedSegments) {
        List<HistoryEntry> entries = new ArrayList<>();
        for (byte[] encodedSegment : encodedSegments) {
            Either<Failure, List<HistoryEntry>> decoded = RootState.decodeEntries(encodedSegment);
            if (decoded.isLeft()) {
                return decoded;
            }
            entries.addAll(decoded.get());
        }
        return Either.right(entries);
    }

    private static String describe(HistoryEntry entry, Set<String> ownItems) {
        List<String> shared = entry.items().stream().filter(ownItems::contains).toList();
        String names = String.join(", ", entry.items());
        String more = entry.itemCount() > entry.items().size()
                ? " and " + (entry.itemCount() - entry.items().size()) + " more"
                : "";
        String overlap = shared.isEmpty() ? "" : ", also named by this note: " + String.join(", ", shared);
        return entry.noteId() + " (" + names + more + overlap + ")";
    }

    private static Set<String> itemsOf(ReleaseNote note) {
        Set<String> names = new LinkedHashSet<>();
        note.added().forEach(item -> names.add(nameOf(NotePaths.keyOf(item))));
        note.changed().forEach(item -> names.add(nameOf(NotePaths.keyOf(item))));
        note.withdrawn().forEach(key -> names.add(nameOf(key)));
        return names;
    }

    private static String nameOf(EntityKey key) {
        return key.kind().field() + "/" + key.key();
    }

    private static void addItems(ArrayNode list, List<Entity> items) {
        for (Entity item : items) {
            list.add(item.kind().field());
            list.add(JSON.<ObjectNode>valueToTree(item));
        }
    }
}
