package org.arbutusfield.lab.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * What a load run sends.
 *
 * @param seeds caller ports of some entry hosts, asked for the first look-up
 * @param service service that the requests go to
 * @param bookingPath path of requests that may not be repeated
 * @param queryPath path of requests that may be repeated
 * @param downloadPath path of long downloads
 * @param perSecond requests a second, sent at even intervals whatever the answers do
 * @param length length of the run
 * @param seed seed of the mix of requests
 */
public record LoadPlan(
        List<InetSocketAddress> seeds,
        String service,
        String bookingPath,
        String queryPath,
        String downloadPath,
        int perSecond,
        Duration length,
        long seed) {

    /** Copies the list so that the plan stays immutable. */
    public LoadPlan {
        seeds = List.copyOf(seeds);
    }
}
