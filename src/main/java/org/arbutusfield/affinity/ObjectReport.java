package org.arbutusfield.affinity;

/**
 * What a host saw of an object at its home since it last told.
 *
 * @param route route that the object belongs to
 * @param key the object's key; objects of different routes have different keys
 * @param requests requests that the home answered
 * @param failures requests that the home did not answer
 * @param busyMicros time until the answers, in microseconds
 * @param upstream the home that the host knows; empty if none
 */
public record ObjectReport(String route, long key, int requests, int failures, long busyMicros, String upstream) {}
