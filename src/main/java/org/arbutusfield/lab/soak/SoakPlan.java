package org.arbutusfield.lab.soak;

import java.time.Duration;

/**
 * The size of a run.
 *
 * @param seed determines the faults and the requests
 * @param hosts number of edge hosts, each a process
 * @param upstreams number of upstreams at the start
 * @param callers number of callers, each with a connection that it reuses
 * @param faultWindow time within which faults begin
 * @param faultCount number of faults; the last series may add a few more
 */
public record SoakPlan(long seed, int hosts, int upstreams, int callers, Duration faultWindow, int faultCount) {}
