package org.arbutusfield.home;

/**
 * What a host saw of an object since it last told.
 *
 * @param key the object's key; objects of different routes have different keys
 * @param requests requests that ended
 * @param busyMicros time that upstreams spent on them, in microseconds
 * @param upstream the home that the host knows; empty if none
 */
public record ObjectUse(long key, int requests, long busyMicros, String upstream) {}
