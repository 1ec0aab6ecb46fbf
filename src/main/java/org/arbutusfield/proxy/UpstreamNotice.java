package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.OptionalDouble;

/** What an upstream says about itself in a response, apart from the response to the request. */
public sealed interface UpstreamNotice {

    /** The upstream is about to stop and wants no further requests. */
    record Leaving() implements UpstreamNotice {}

    /**
     * The upstream wants no requests from this host for some time.
     *
     * @param duration the time, from the arrival of the response; above zero
     */
    record Pause(Duration duration) implements UpstreamNotice {}

    /**
     * The upstream accepts requests only at a certain rate, for as long as its responses say so.
     *
     * @param perSecond requests per second from all hosts together; zero or more
     */
    record RateLimit(double perSecond) implements UpstreamNotice {}

    /** The response names no limit of the rate. That ends an earlier one if the response is certainly newer. */
    record NoRateLimit() implements UpstreamNotice {}

    /**
     * The load of the upstream when it wrote the response.
     *
     * @param running requests that it runs
     * @param waiting requests in its queue
     * @param slots requests that it can run at the same time; above zero
     * @param slowness how many times longer than usual work takes now, 1 is usual; empty if the upstream doesn't say
     */
    record Load(int running, int waiting, int slots, OptionalDouble slowness) implements UpstreamNotice {}
}
