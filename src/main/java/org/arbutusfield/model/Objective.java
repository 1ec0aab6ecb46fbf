package org.arbutusfield.model;

/**
 * A service-level objective for one request class.
 *
 * @param requestClass name of the request class
 * @param latencyMillis a request is good when its response is complete within this time, in milliseconds
 * @param target share of requests that must be good, greater than 0 and less than 1
 * @param windowDays length of the error budget window, in days
 */
public record Objective(String requestClass, long latencyMillis, double target, int windowDays) {}
