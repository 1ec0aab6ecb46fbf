package org.arbutusfield.steering;

import java.time.Duration;

/**
 * The budget of all hosts together for repeated requests to one service.
 *
 * @param ratio repeats per request
 * @param window sliding time over which both are counted
 * @param slack repeats besides
 * @param minHosts fewest hosts to share it with, before this host has seen the others
 */
public record SharedRetryBudget(double ratio, Duration window, int slack, int minHosts) {}
