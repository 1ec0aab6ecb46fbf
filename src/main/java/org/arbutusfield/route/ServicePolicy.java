package org.arbutusfield.route;

import java.time.Duration;

/**
 * The operator's settings for the upstreams of a service.
 *
 * @param name name of the service
 * @param healthPath path of the health check on each upstream
 * @param maxConnections connections that one upstream accepts from all hosts together
 * @param coldPeriod time after its start during which an upstream is cold
 * @param coldRequestsPerSecond requests per second that a cold upstream tolerates from all hosts together; 0 if not
 *     configured, in which case it gets none while cold
 */
public record ServicePolicy(
        String name, String healthPath, int maxConnections, Duration coldPeriod, double coldRequestsPerSecond) {}
