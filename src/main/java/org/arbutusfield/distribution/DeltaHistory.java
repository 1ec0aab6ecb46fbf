package org.arbutusfield.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The last steps between revisions that this host has taken, kept so that others can be sent just the difference.
 * Bounded in number and bytes. Guarded by its own lock.
 */
final class DeltaHistory {
    private static final int MAX_STEPS = 32;
    private static final int MAX_BYTES = 1 << 20;

    private final Deque<RevisionDelta> steps = new ArrayDeque<>();
    private int bytes;

    private DeltaHistory() {}

    static DeltaHistory create() {
        return new DeltaHistory();
    }

    /** Remembers a step; steps too large to be worth keeping are dropped. */
    synchronized void add(RevisionDelta step) {
        if (step.length() > MAX_BYTES || step.length() >= step.targetLength()) {
            return;
        }
        steps.addLast(step);
        bytes += step.length();
        while (steps.size() > MAX_STEPS || bytes > MAX_BYTES) {
            bytes -= steps.removeFirst().length();
        }
    }

    /** The latest step that starts at a root. */
    synchronized Optional<RevisionDelta> from(RevisionId base) {
        Optional<RevisionDelta> found = Optional.empty();
        for (RevisionDelta step : steps) {
            if (step.base().equals(base)) {
                found = Optional.of(step);
            }
        }
        return found;
    }
}
