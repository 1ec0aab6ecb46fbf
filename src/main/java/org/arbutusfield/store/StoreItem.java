package org.arbutusfield.store;

import org.arbutusfield.http.Body;

/**
 * An item of a {@link WatchableStore}.
 *
 * @param key its key
 * @param value its content
 * @param revision revision of its last change
 */
public record StoreItem(String key, Body value, long revision) {}
