package org.arbutusfield.model;

/**
 * A service-level objective for one request class.
 *
 * @param requestClass name of the class
 * @param latencyMillis a request is good when answered whole within this time, in milliseconds
 * @param target share of requests that must be good, above 0 and below 1
 * @param windowDays length of the budget's window, in days
 */
public record Objective(String requestClass, long latencyMillis, double target, int windowDays) {}
