package org.arbutusfield.proxy;

import java.util.Optional;

/**
 * Names of the header fields by which callers, entry hosts and upstreams understand each other. All are lower case.
 *
 * @param deadlineMillis how long the sender waits, in milliseconds
 * @param notRun statement of an upstream that it did not run the request
 * @param expectedInstance name of the only upstream that may run the request, if upstreams check that
 * @param objectKey the object that a request concerns, if callers name it
 * @param answerProof field without which an upstream's 2xx answer isn't genuine, if upstreams prove theirs
 * @param fractionalRetryAfter whether callers understand fractions of seconds in {@code Retry-After}
 */
public record HeaderNames(
        String deadlineMillis,
        String notRun,
        Optional<String> expectedInstance,
        Optional<String> objectKey,
        Optional<String> answerProof,
        boolean fractionalRetryAfter) {

    /** This product's own names. */
    public static HeaderNames standard() {
        return new HeaderNames(
                "x-request-deadline-ms", "x-not-run", Optional.empty(), Optional.empty(), Optional.empty(), false);
    }
}
