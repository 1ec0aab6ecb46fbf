package org.arbutusfield.store;

/**
 * A lease granted by a {@link WatchableStore}. A later era of the store may not have it, or may have given its id to
 * another holder, so the holder must neither renew nor end it then.
 *
 * @param id id of the lease
 * @param era era of the store that granted it, see {@link StoreRevision}
 */
public record StoreLease(long id, long era) {}
