package org.arbutusfield.affinity;

/**
 * What a host observed of an object at its home since its previous report.
 *
 * @param route route that the object belongs to
 * @param key the object's key; the same object name has different keys on different routes
 * @param requests number of requests that the home answered
 * @param failures number of requests that the home did not answer
 * @param busyMicros total time until the answers, in microseconds
 * @param upstream the home that the host knows; empty if none
 */
public record ObjectReport(String route, long key, int requests, int failures, long busyMicros, String upstream) {}
