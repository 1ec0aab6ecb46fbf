package org.arbutusfield.lab.soak;

import java.util.List;

/**
 * The result of a run.
 *
 * @param requests number of requests that callers sent
 * @param served number of requests that were answered with success
 * @param closeFailures number of connections that callers failed to close
 * @param crashes number of upstreams that were ended by the request that ends upstreams
 * @param violations violated guarantees
 */
public record SoakReport(int requests, int served, int closeFailures, int crashes, List<Violation> violations) {}
