package org.arbutusfield.quota;

/** Tells all other hosts that an upstream has begun to name a limit, so that they needn't hear it for themselves. */
@FunctionalInterface
public interface LimitAnnouncer {
    /** Announces a limit as it is in force now. */
    void announce(UpstreamLimit limit);
}
