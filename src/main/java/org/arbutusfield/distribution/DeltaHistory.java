package org.arbutusfield.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The latest deltas between revisions installed on this host, kept so that other hosts can be sent only the difference.
 * Bounded in number and bytes. Thread-safe.
 */
final class DeltaHistory {
    private static final int MAX_DELTAS = 32;
    private static final int MAX_BYTES = 1 << 20;

    private final Deque<RevisionDelta> deltas = new ArrayDeque<>();
    private int bytes;

    private DeltaHistory() {}

    static DeltaHistory create() {
        return new DeltaHistory();
    }

    /**
     * Adds a delta. It is dropped when it is larger than the history may be, or no smaller than the content that it
     * leads to.
     */
    synchronized void add(RevisionDelta delta) {
        if (delta.length() > MAX_BYTES || delta.length() >= delta.targetLength()) {
            return;
        }
        deltas.addLast(delta);
        bytes += delta.length();
        while (deltas.size() > MAX_DELTAS || bytes > MAX_BYTES) {
            bytes -= deltas.removeFirst().length();
        }
    }

    /** The latest delta from the given revision. */
    synchronized Optional<RevisionDelta> latestFrom(RevisionId base) {
        Optional<RevisionDelta> found = Optional.empty();
        for (RevisionDelta delta : deltas) {
            if (delta.base().equals(base)) {
                found = Optional.of(delta);
            }
        }
        return found;
    }
}
