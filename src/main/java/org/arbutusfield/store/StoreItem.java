package org.arbutusfield.store;

import org.arbutusfield.http.Body;

/**
 * An item of a {@link WatchableStore}.
 *
 * @param key key of the item
 * @param value content of the item
 * @param revision revision of its last change
 */
public record StoreItem(String key, Body value, long revision) {}
