package org.arbutusfield.store;

import org.arbutusfield.http.Body;

/**
 * An item of a {@link WatchableStore}.
 *
 * @param key key of the item
 * @param value content of the item
 * @param revision revision of its last change
 * @param createdRevision revision in which it was created; it has existed since then
 */
public record StoreItem(String key, Body value, long revision, long createdRevision) {

    /** Creates an item that has not changed since it was created. */
    public StoreItem(String key, Body value, long revision) {
        this(key, value, revision, revision);
    }
}
