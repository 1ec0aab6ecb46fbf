package org.arbutusfield.distribution;

import java.util.Optional;

/**
 * A snapshot as read from a peer, not yet checked.
 *
 * @param snapshot the snapshot
 * @param delta the delta from which it was built, if it was not received whole
 */
record ReceivedSnapshot(Snapshot snapshot, Optional<RevisionDelta> delta) {}
