package org.arbutusfield.state;

import org.arbutusfield.store.StoreLease;
import org.arbutusfield.store.StoreRevision;

/**
 * The registration that a host has in the store. Until its end, the entry exists there, unless the store has returned
 * from an older copy of its content.
 *
 * @param lease lease that the entry is bound to
 * @param revision revision at which the host wrote the entry under this lease, or a later one
 * @param endNanos monotonic time until which the lease certainly lasts, as this host counts time
 */
public record HeldRegistration(StoreLease lease, StoreRevision revision, long endNanos) {}
