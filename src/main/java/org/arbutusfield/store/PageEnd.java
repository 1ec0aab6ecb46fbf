package org.arbutusfield.store;

/**
 * The end of one page of items.
 *
 * @param hasMore whether another page follows
 * @param revision revision of the store when the page was read
 */
public record PageEnd(boolean hasMore, StoreRevision revision) {}
