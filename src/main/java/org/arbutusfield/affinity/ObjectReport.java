package org.arbutusfield.affinity;

/**
 * What a host observed of an object at its home since its previous report.
 *
 * @param route route that the object belongs to
 * @param key the object's key; the same object name has different keys on different routes
 * @param requests number of requests that the home completed
 * @param failures number of requests that failed at the home
 * @param busyMicros total time from sending the requests to the end of the responses, in microseconds
 * @param upstream the home in the host's cached plan; empty if none
 */
public record ObjectReport(String route, long key, int requests, int failures, long busyMicros, String upstream) {}
