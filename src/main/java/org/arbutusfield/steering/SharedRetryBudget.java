package org.arbutusfield.steering;

import java.time.Duration;

/**
 * The budget that all hosts share for retries to one service.
 *
 * @param ratio retries per request
 * @param window sliding window over which both are counted
 * @param slack number of retries allowed in each window in addition to the ratio
 * @param minHosts number of hosts to divide the slack by until this host has seen more
 */
public record SharedRetryBudget(double ratio, Duration window, int slack, int minHosts) {}
