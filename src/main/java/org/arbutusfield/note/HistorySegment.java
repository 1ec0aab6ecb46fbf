package org.arbutusfield.note;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.arbutusfield.misc.Digests;

/**
 * Where a run of older history entries is kept, with a short mark of each note's id, so that an id can be looked for
 * without reading the run.
 *
 * @param digest digest of the segment that holds the entries
 * @param firstRevision revision of the first entry
 * @param lastRevision revision of the last entry
 * @param marks the marks one after another
 */
record HistorySegment(String digest, long firstRevision, long lastRevision, String marks) {
    private static final int MARK_CHARS = 6;

    /** The segment of entries in order of revision, kept under the digest. */
    static HistorySegment of(String digest, List<HistoryEntry> entries) {
        String marks = entries.stream().map(entry -> mark(entry.noteId())).collect(Collectors.joining());
        long last = entries.get(entries.size() - 1).revision();
        return new HistorySegment(digest, entries.get(0).revision(), last, marks);
    }

    /** False when the note is certainly not in the segment. */
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
