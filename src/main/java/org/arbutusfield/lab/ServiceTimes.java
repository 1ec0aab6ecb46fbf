package org.arbutusfield.lab;

import java.time.Duration;
import java.util.SplittableRandom;

/** The service times of an upstream stand-in. */
@FunctionalInterface
public interface ServiceTimes {
    /** Returns the service time of the request with this number, counted from 0. */
    Duration forRequest(long request);

    /** The same time for every request. */
    static ServiceTimes fixed(Duration time) {
        return request -> time;
    }

    /**
     * Exponentially distributed times with this mean; the same seed gives the same time for the same request number.
     */
    static ServiceTimes exponential(Duration mean, long seed) {
        return request -> {
            double uniform = new SplittableRandom(seed + request).nextDouble();
            return Duration.ofNanos((long) (-Math.log1p(-uniform) * mean.toNanos()));
        };
    }

    /** Adds extra time to the first requests, as after a cold start. */
    default ServiceTimes afterColdStart(long requests, Duration extra) {
        return request -> request < requests ? forRequest(request).plus(extra) : forRequest(request);
    }
}
