package org.arbutusfield.lab.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * The requests of a load run.
 *
 * @param seeds caller addresses of some hosts, asked for the first look-up
 * @param service service that the requests go to
 * @param nonRepeatablePath path of requests that may not be repeated
 * @param repeatablePath path of requests that may be repeated
 * @param downloadPath path of long downloads
 * @param requestsPerSecond request rate; requests are sent at even intervals, regardless of the responses
 * @param duration duration of the run
 * @param seed seed of the random mix of requests
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
