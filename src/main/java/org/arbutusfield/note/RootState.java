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
 * The value under the root key: the current configuration and the history of applied notes.
 *
 * @param revision the current revision
 * @param manifest digest of the manifest of the current revision
 * @param recent the latest history entries in order of revision
 * @param older references to the segments of older entries in order of revision
 */
record RootState(long revision, String manifest, List<HistoryEntry> recent, List<HistorySegment> older) {
    /** Number of history entries that are moved to one segment. */
    static final int SEGMENT_ENTRIES = 64;

    /** Maximum number of segments of older entries; the oldest is dropped beyond that. */
    static final int MAX_SEGMENTS = 64;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final RootState EMPTY = new RootState(0, "", List.of(), List.of());

    /** Copies the lists, to keep the record immutable. */
    RootState {
        recent = List.copyOf(recent);
        older = List.copyOf(older);
    }

    /** The root before the first note. */
    static RootState empty() {
        return EMPTY;
    }

    /** Pointer to the current configuration. */
    RootPointer pointer() {
        return new RootPointer(revision, manifest);
    }

    /** The entry of a note, if it is among the recent ones. */
    Optional<HistoryEntry> findRecent(String noteId) {
        return recent.stream().filter(e -> e.noteId().equals(noteId)).findFirst();
    }

    /**
     * Returns the root after a note. The segment returned by {@link #overflow}, if any, must be stored before that
     * root.
     */
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

    /**
     * The entries that the next {@link #append} moves out of the root, encoded as a segment; empty when there are too
     * few.
     */
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

    /** Decodes a root; fails with {@code STORE_CORRUPT}. */
    static Either<Failure, RootState> decode(byte[] bytes) {
        return read(bytes, new TypeReference<>() {});
    }

    /** Decodes a segment of older entries; fails with {@code STORE_CORRUPT}. */
    static Either<Failure, List<HistoryEntry>> decodeEntries(byte[] bytes) {
        return read(bytes, new TypeReference<>() {});
    }

    private static byte[] write(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the root", e);
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
