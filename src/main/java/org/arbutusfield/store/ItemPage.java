package org.arbutusfield.store;

import java.util.List;

/**
 * One page of items.
 *
 * @param items the items in order of key
 * @param hasMore whether another page follows
 * @param revision revision of the store when the page was read
 */
public record ItemPage(List<StoreItem> items, boolean hasMore, StoreRevision revision) {
    /** Copies the list, to keep the record immutable. */
    public ItemPage {
        items = List.copyOf(items);
    }
}
