package org.arbutusfield.state;

/**
 * The entry of a host in the store.
 *
 * @param entry the entry
 * @param revision revision of its last change
 * @param createdRevision revision since which it has existed
 */
public record RegisteredHost(HostEntry entry, long revision, long createdRevision) {}
