package org.arbutusfield.note;

import java.util.List;
import org.arbutusfield.model.Entity;

/**
 * A set of configuration changes that is applied atomically.
 *
 * @param id unique id chosen by the operator; applying a note with the same id and content again has no effect
 * @param against revision that the note was written against; the note conflicts if another revision is current
 * @param added items that must not exist yet
 * @param changed items that must exist; each replaces the item with the same kind and key
 * @param withdrawn keys of items to remove; the items must exist
 * @param force whether the note is applied even if its drains leave callers without an upstream
 */
public record ReleaseNote(
        String id, long against, List<Entity> added, List<Entity> changed, List<EntityKey> withdrawn, boolean force) {

    /** Copies the lists, to keep the record immutable. */
    public ReleaseNote {
        added = List.copyOf(added);
        changed = List.copyOf(changed);
        withdrawn = List.copyOf(withdrawn);
    }

    /** Creates a note without {@code force}. */
    public ReleaseNote(String id, long against, List<Entity> added, List<Entity> changed, List<EntityKey> withdrawn) {
        this(id, against, added, changed, withdrawn, false);
    }
}
