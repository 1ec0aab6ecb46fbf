package org.arbutusfield.note;

import java.util.List;

/**
 * History record of one applied note.
 *
 * @param revision the revision that resulted from the note
 * @param noteId id of the note
 * @param noteDigest digest of the content of the note, to distinguish it from another note with the same id
 * @param manifest digest of the manifest of that revision
 * @param itemCount number of items that the note adds, changes or withdraws
 * @param items the first few of these items, as {@code field/key}
 */
public record HistoryEntry(
        long revision, String noteId, String noteDigest, String manifest, int itemCount, List<String> items) {

    /** Copies the list, to keep the record immutable. */
    public HistoryEntry {
        items = List.copyOf(items);
    }

    /** Pointer to the configuration that resulted from the note. */
    public RootPointer pointer() {
        return new RootPointer(revision, manifest);
    }
}
