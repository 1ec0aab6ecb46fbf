package org.arbutusfield.note;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.arbutusfield.misc.Digests;

/**
 * Reference to a segment of older history entries. It holds a truncated hash of each note id, so that most segments
 * without a given id are ruled out without reading them.
 *
 * @param digest digest of the segment that holds the entries
 * @param firstRevision revision of the first entry
 * @param lastRevision revision of the last entry
 * @param marks the truncated hashes of the note ids in order of revision, concatenated; {@value #MARK_CHARS}
 *     hexadecimal digits each
 */
record HistorySegment(String digest, long firstRevision, long lastRevision, String marks) {
    private static final int MARK_CHARS = 6;

    /** Creates the reference to a segment of entries, given in order of revision. */
    static HistorySegment of(String digest, List<HistoryEntry> entries) {
        String marks = entries.stream().map(entry -> mark(entry.noteId())).collect(Collectors.joining());
        long last = entries.get(entries.size() - 1).revision();
        return new HistorySegment(digest, entries.get(0).revision(), last, marks);
    }

    /** False when the segment certainly does not contain the note; true may be a hash collision. */
    boolean mightContain(String noteId) {
        String mark = mark(noteId);
        for (int i = 0; i < marks.length(); i += MARK_CHARS) {
            if (marks.startsWith(mark, i)) {
                return true;
            }
        }
        return false;
    }

    private static String mark(String noteId) {
        return Digests.sha256(noteId.getBytes(StandardCharsets.UTF_8)).substring(0, MARK_CHARS);
    }
}
