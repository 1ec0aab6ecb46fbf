package org.arbutusfield.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;

/**
 * The value under the root key: which state is running and how it came about.
 *
 * @param revision the running revision
 * @param manifest digest of its manifest
 * @param recent the latest history entries in order of revision
 * @param older runs of older entries in order of revision
 */
record RootState(long revision, String manifest, List<HistoryEntry> recent, List<HistorySegment> older) {
    /** Entries that are moved to a segment of their own at a time. */
    static final int SEGMENT_ENTRIES = 64;

    /** Most segments of older entries; beyond them the oldest is forgotten. */
    static final int MAX_SEGMENTS = 64;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final RootState EMPTY = new RootState(0, "", List.of(), List.of());

    /** Copies the lists so that the state stays immutable. */
    RootState {
        recent = List.copyOf(recent);
        older = List.copyOf(older);
    }

    /** The root before the first note. */
    static RootState empty() {
        return EMPTY;
    }

    /** Names the running state. */
    RootPointer pointer() {
        return new RootPointer(revision, manifest);
    }

    /** The recent entry of a note. */
    Optional<HistoryEntry> findRecent(String noteId) {
        return recent.stream().filter(e -> e.noteId().equals(noteId)).findFirst();
    }

    /** The root after a note; {@link #overflow} says what else must be stored before it. */
    RootState append(HistoryEntry entry) {
        Optional<Segment> overflow = overflow();
        List<HistoryEntry> entries = new ArrayList<>(recent);
        List<HistorySegment> segments = new ArrayList<>(older);
        if (overflow.isPresent()) {
            List<HistoryEntry> moved = entries.subList(0, SEGMENT_ENTRIES);
            segments.add(HistorySegment.of(overflow.get().digest(), moved));
            moved.clear();
        }
        if (segments.size() > MAX_SEGMENTS) {
            segments.remove(0);
        }
        entries.add(entry);
        return new RootState(entry.revision(), entry.manifest(), entries, segments);
    }

    /** The entries that the next {@link #append} moves out of the root, as a segment to be stored before it. */
    Optional<Segment> overflow() {
        if (recent.size() < 2 * SEGMENT_ENTRIES) {
            return Optional.empty();
        }
        return Optional.of(Segment.of(write(recent.subList(0, SEGMENT_ENTRIES))));
    }

    /** Encodes the root. */
    byte[] encode() {
        return write(this);
    }

    /** Decodes a root, or {@code STORE_CORRUPT}. */
    static Either<Failure, RootState> decode(byte[] bytes) {
        return read(bytes, new TypeReference<>() {});
    }

    /** Decodes a segment of older entries, or {@code STORE_CORRUPT}. */
    static Either<Failure, List<HistoryEntry>> decodeEntries(byte[] bytes) {
        return read(bytes, new TypeReference<>() {});
    }

    private static byte[] write(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a root can always be written", e);
        }
    }

    private static <T> Either<Failure, T> read(byte[] bytes, TypeReference<T> type) {
        try {
            return Either.right(JSON.readValue(bytes, type));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorCode.STORE_CORRUPT, "root", e.toString()));
        }
    }
}
