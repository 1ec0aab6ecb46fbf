package org.arbutusfield.distribution;

import java.util.Optional;

/**
 * A snapshot as read from a peer, not yet checked.
 *
 * @param snapshot the snapshot
 * @param step the delta that it came by, if it did
 */
record ReceivedSnapshot(Snapshot snapshot, Optional<RevisionDelta> step) {}
