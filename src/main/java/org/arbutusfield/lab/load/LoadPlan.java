package org.arbutusfield.lab.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * What a load run sends.
 *
 * @param seeds caller ports of some entry hosts, asked for the first look-up
 * @param service service that the requests go to
 * @param nonRepeatablePath path of requests that may not be repeated
 * @param repeatablePath path of requests that may be repeated
 * @param downloadPath path of long downloads
 * @param requestsPerSecond requests a second, sent at even intervals whatever the answers do
 * @param duration length of the run
 * @param seed seed of the mix of requests
 */
public record LoadPlan(
        List<InetSocketAddress> seeds,
        String service,
        String nonRepeatablePath,
        String repeatablePath,
        String downloadPath,
        int requestsPerSecond,
        Duration duration,
        long seed) {

    /** Copies the list so that the plan stays immutable. */
    public LoadPlan {
        seeds = List.copyOf(seeds);
    }
}
