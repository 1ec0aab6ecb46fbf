package org.arbutusfield.lab.soak;

import java.util.List;

/**
 * What a run saw.
 *
 * @param requests requests that callers sent
 * @param served requests that were answered with success
 * @param closeFailures connections that callers could not close
 * @param violations promises that were broken
 */
public record SoakReport(int requests, int served, int closeFailures, List<Violation> violations) {}
