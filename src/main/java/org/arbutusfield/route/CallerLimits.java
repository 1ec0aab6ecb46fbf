package org.arbutusfield.route;

import java.time.Duration;

/**
 * The operator's bounds on callers.
 *
 * @param maxHeadBytes bytes of a request's head
 * @param maxBodyBytes bytes of a request's body
 * @param headTimeout time from the first byte of a head to its last
 * @param idleTimeout time a connection may wait for its next request
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, Duration headTimeout, Duration idleTimeout) {}
