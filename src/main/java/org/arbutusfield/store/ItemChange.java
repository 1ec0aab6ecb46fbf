package org.arbutusfield.store;

import java.util.Optional;

/**
 * One change of an item.
 *
 * @param key the item's key
 * @param revision revision of the change
 * @param item the item as it was written; none when it was deleted
 */
public record ItemChange(String key, long revision, Optional<StoreItem> item) {}
