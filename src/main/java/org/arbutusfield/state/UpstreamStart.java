package org.arbutusfield.state;

/**
 * One start of an upstream.
 *
 * @param upstream name of the upstream
 * @param startMillis wall-clock time of the start in milliseconds; 0 if unknown
 */
public record UpstreamStart(String upstream, long startMillis) {}
