package org.arbutusfield.store;

import java.util.Optional;

/**
 * A change of one item.
 *
 * @param key key of the item
 * @param revision revision of the change
 * @param item the item as written; empty when it was deleted
 */
public record ItemChange(String key, long revision, Optional<StoreItem> item) {}
