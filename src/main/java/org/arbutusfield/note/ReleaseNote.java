package org.arbutusfield.note;

import java.util.List;
import org.arbutusfield.model.Entity;

/**
 * What operators want changed, applied as a whole or not at all.
 *
 * @param id unique id chosen by the operator; applying the same note again has no further effect
 * @param against revision that the note was written against
 * @param added items that must not exist yet
 * @param changed items that must exist; each replaces the one with its key
 * @param withdrawn items that must exist and are removed
 * @param force whether the note is applied in spite of warnings
 */
public record ReleaseNote(
        String id, long against, List<Entity> added, List<Entity> changed, List<EntityKey> withdrawn, boolean force) {

    /** Copies the lists so that the note stays immutable. */
    public ReleaseNote {
        added = List.copyOf(added);
        changed = List.copyOf(changed);
        withdrawn = List.copyOf(withdrawn);
    }

    /** A note that is refused when there are warnings. */
    public ReleaseNote(String id, long against, List<Entity> added, List<Entity> changed, List<EntityKey> withdrawn) {
        this(id, against, added, changed, withdrawn, false);
    }
}
