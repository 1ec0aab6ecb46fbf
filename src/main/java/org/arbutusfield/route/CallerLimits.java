package org.arbutusfield.route;

import java.time.Duration;

/**
 * The operator's limits on callers.
 *
 * @param maxHeadBytes maximum size of a request's head
 * @param maxBodyBytes maximum size of a request's body
 * @param headTimeout time from the first byte of a head to its last
 * @param idleTimeout time that a connection may wait for its next request
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, Duration headTimeout, Duration idleTimeout) {}
