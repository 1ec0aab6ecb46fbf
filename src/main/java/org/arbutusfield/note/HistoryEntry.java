package org.arbutusfield.note;

import java.util.List;

/**
 * One applied note.
 *
 * @param revision the revision that it made
 * @param noteId its id
 * @param noteDigest digest of its content, to tell the same note from another with its id
 * @param manifest digest of the manifest of the revision
 * @param itemCount how many items it named
 * @param items the first few of them, as {@code field/key}
 */
public record HistoryEntry(
        long revision, String noteId, String noteDigest, String manifest, int itemCount, List<String> items) {

    /** Copies the list so that the entry stays immutable. */
    public HistoryEntry {
        items = List.copyOf(items);
    }

    /** Names the state after the note. */
    public RootPointer pointer() {
        return new RootPointer(revision, manifest);
    }
}
