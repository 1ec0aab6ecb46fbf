package org.arbutusfield.lab.admission;

/** A strategy that assigns the jobs of one region to its servers. */
@FunctionalInterface
interface Strategy {

    /**
     * Handles a job that arrives at a live host. Records exactly one end of the job in {@link RunStatistics}:
     * completed, refused, late or lost.
     */
    void arrive(Job job, String host);

    /** Called when a host dies. */
    default void hostDied(String host) {}

    /** Called when a host stops responding for {@link Scenario#PAUSE_NANOS}. */
    default void hostPaused(String host) {}

    /** Returns the host whose fault has the largest effect. */
    default String faultTarget(SimulatedRegion region) {
        return region.hosts().get(0);
    }
}
