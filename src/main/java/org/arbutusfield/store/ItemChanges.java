package org.arbutusfield.store;

import java.util.List;

/**
 * A batch of changes in order of revision.
 *
 * @param changes the changes
 * @param revision revision to pass to the next watch
 */
public record ItemChanges(List<ItemChange> changes, StoreRevision revision) {
    /** Copies the list, to keep the record immutable. */
    public ItemChanges {
        changes = List.copyOf(changes);
    }
}
