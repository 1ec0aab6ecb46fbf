package org.arbutusfield.route;

import java.time.Duration;

/**
 * What the operator says of a service's upstreams.
 *
 * @param name name of the service
 * @param healthPath path of the health check at each upstream
 * @param maxConnections connections that one upstream accepts from all hosts together
 * @param coldPeriod time after its start for which an upstream is cold
 * @param coldRequestsPerSecond requests a second that a cold upstream tolerates from all hosts together; 0 when
 *     unlimited
 */
public record ServicePolicy(
        String name, String healthPath, int maxConnections, Duration coldPeriod, double coldRequestsPerSecond) {}
