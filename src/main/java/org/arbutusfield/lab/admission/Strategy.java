package org.arbutusfield.lab.admission;

/** A way to bring the jobs of one region to its servers. */
@FunctionalInterface
interface Strategy {

    /** Handles a job that arrives at a live host. Ends in exactly one call of the tally for the job. */
    void arrive(Job job, String host);

    /** Notes that a host died. */
    default void hostDied(String host) {}

    /** Notes that a host stops answering for {@link Scenario#PAUSE_NANOS}. */
    default void hostPaused(String host) {}

    /** The host on which a fault hits hardest. */
    default String faultTarget(SimulatedRegion region) {
        return region.hosts().get(0);
    }
}
