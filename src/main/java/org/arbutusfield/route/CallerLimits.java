package org.arbutusfield.route;

import java.time.Duration;

/**
 * The operator's bounds on callers.
 *
 * @param headBytes bytes of a request's head
 * @param bodyBytes bytes of a request's body
 * @param headTimeout time from the first byte of a head to its last
 * @param idleTimeout time a connection may wait for its next request
 */
public record CallerLimits(int headBytes, long bodyBytes, Duration headTimeout, Duration idleTimeout) {}
