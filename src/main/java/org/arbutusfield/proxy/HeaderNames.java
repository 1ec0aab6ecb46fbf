package org.arbutusfield.proxy;

import java.util.Optional;

/**
 * Names of the header fields that callers, hosts and upstreams exchange. All are lower case.
 *
 * @param deadlineMillis time that the sender waits for the response, in milliseconds
 * @param notRun states that an upstream did not run the request
 * @param expectedInstance names the only upstream that may run the request, if upstreams check this
 * @param objectKey names the object that a request concerns, if callers send this
 * @param responseProof field that an upstream's 2xx response must have to be accepted, if upstreams send one
 * @param upstreamLeaving field with which an upstream says that it is about to stop, if upstreams send one
 * @param upstreamRateLimit field with which an upstream names the requests per second that it accepts from all hosts
 *     together, if upstreams send one
 * @param team field with which an upstream is told the team of a request, if upstreams expect one
 * @param upstreamLoad field with which an upstream states its load, as {@code running,waiting,slots[,speed]}, if
 *     upstreams send one
 * @param fractionalRetryAfter whether callers accept fractions of seconds in {@code Retry-After}
 */
public record HeaderNames(
        String deadlineMillis,
        String notRun,
        Optional<String> expectedInstance,
        Optional<String> objectKey,
        Optional<String> responseProof,
        Optional<String> upstreamLeaving,
        Optional<String> upstreamRateLimit,
        Optional<String> team,
        Optional<String> upstreamLoad,
        boolean fractionalRetryAfter) {

    /** Names without fields for the team and for the load. */
    public HeaderNames(
            String deadlineMillis,
            String notRun,
            Optional<String> expectedInstance,
            Optional<String> objectKey,
            Optional<String> responseProof,
            Optional<String> upstreamLeaving,
            Optional<String> upstreamRateLimit,
            boolean fractionalRetryAfter) {
        this(
                deadlineMillis,
                notRun,
                expectedInstance,
                objectKey,
                responseProof,
                upstreamLeaving,
                upstreamRateLimit,
                Optional.empty(),
                Optional.empty(),
                fractionalRetryAfter);
    }

    /** The default names. */
    public static HeaderNames defaults() {
        return new HeaderNames(
                "x-request-deadline-ms",
                "x-not-run",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                false);
    }
}
