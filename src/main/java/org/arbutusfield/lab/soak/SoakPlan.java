package org.arbutusfield.lab.soak;

import java.time.Duration;

/**
 * The size of a run.
 *
 * @param seed draws the faults and the requests
 * @param hosts edge hosts, each a process
 * @param upstreams upstreams at the start
 * @param callers callers, each with a connection that it keeps
 * @param faultWindow time in which faults begin
 * @param faultCount faults to draw, or a few more
 */
public record SoakPlan(long seed, int hosts, int upstreams, int callers, Duration faultWindow, int faultCount) {}
