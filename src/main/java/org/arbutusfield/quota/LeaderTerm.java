package org.arbutusfield.quota;

import java.util.OptionalLong;

/** Tells whether this host leads. */
@FunctionalInterface
public interface LeaderTerm {
    /**
     * Returns the monotonic time since which this host has led without interruption; empty if it may not be the leader
     * now. Terms of different hosts don't overlap.
     */
    OptionalLong startNanos();
}
