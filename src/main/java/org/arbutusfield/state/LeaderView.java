package org.arbutusfield.state;

import java.util.Optional;
import org.arbutusfield.store.StoreRevision;

/**
 * What the store tells about the leader.
 *
 * @param host the host whose registration has existed for longest, which leads; empty if no host is registered
 * @param settledEra an era of the store that has lasted for longer than the leases of the eras before it;
 *     {@link StoreRevision#UNKNOWN_ERA} if none is known
 */
public record LeaderView(Optional<RegisteredHost> host, long settledEra) {
    /** No host is registered. */
    public static final LeaderView NONE = new LeaderView(Optional.empty(), StoreRevision.UNKNOWN_ERA);
}
