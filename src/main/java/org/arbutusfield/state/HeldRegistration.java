package org.arbutusfield.state;

import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;

/**
 * The registration that a host certainly has in the store now, unless the store has returned from an older copy of its
 * content.
 *
 * @param lease lease that the entry is bound to
 * @param revision revision at which the host last wrote the entry
 */
public record HeldRegistration(StoreLease lease, StoreRevision revision) {}
