package org.arbutusfield.store;

import java.util.List;

/**
 * Changes in order of revision.
 *
 * @param changes the changes
 * @param revision revision from which to watch on
 */
public record ItemChanges(List<ItemChange> changes, long revision) {
    /** Copies the list so that the changes stay immutable. */
    public ItemChanges {
        changes = List.copyOf(changes);
    }
}
