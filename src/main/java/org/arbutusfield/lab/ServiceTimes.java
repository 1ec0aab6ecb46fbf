package org.arbutusfield.lab;

import java.time.Duration;
import java.util.SplittableRandom;

/** How long an upstream stand-in works on its requests. */
@FunctionalInterface
public interface ServiceTimes {
    /** Time for the request with this number, counted from 0. */
    Duration forRequest(long request);

    /** The same time for each request. */
    static ServiceTimes fixed(Duration time) {
        return request -> time;
    }

    /** Exponential times with this mean; the same seed gives the same time for the same request number. */
    static ServiceTimes exponential(Duration mean, long seed) {
        return request -> {
            double uniform = new SplittableRandom(seed + request).nextDouble();
            return Duration.ofNanos((long) (-Math.log1p(-uniform) * mean.toNanos()));
        };
    }

    /** The same times after a cold start: the first requests take so much longer. */
    default ServiceTimes afterColdStart(long requests, Duration extra) {
        return request -> request < requests ? forRequest(request).plus(extra) : forRequest(request);
    }
}
