package org.arbutusfield.proxy;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.arbutusfield.error.ErrorCode;
import org.arbutusfield.error.Failure;
import org.arbutusfield.route.Route;

/**
 * The tries of one request so far, and whether another may follow. Confined to the request's event loop.
 *
 * <p>A try whose outcome is unknown counts as a run, and the route bounds the number of runs. A try that certainly did
 * not run counts only against the host's limit on tries.
 */
final class AttemptHistory {
    private static final int UNAVAILABLE = 503;
    private static final Duration COME_BACK = Duration.ofMillis(500);

    private final RequestHead head;
    private final int tryLimit;
    private final RetryLimiter retries;
    private final Set<String> tried = new HashSet<>();
    private int tries;
    private int runs;
    private boolean freshOnly;
    private Optional<Failure> lastFailure = Optional.empty();

    private AttemptHistory(RequestHead head, int tryLimit, RetryLimiter retries) {
        this.head = head;
        this.tryLimit = tryLimit;
        this.retries = retries;
    }

    /** No tries yet. */
    static AttemptHistory of(RequestHead head, ProxyContext context) {
        return new AttemptHistory(
                head, context.limits().attempts(), context.wiring().retries());
    }

    /** A try begins. */
    void begins() {
        tries++;
    }

    /** A try ended without an answer to pass on. */
    void failed(Attempt by, Failure failure, boolean notRun) {
        runs += notRun ? 0 : 1;
        lastFailure = Optional.of(failure);
        boolean statedByPlace = notRun && by.sent();
        boolean connectionAtFault = by.onReusedConnection() && !statedByPlace;
        freshOnly |= connectionAtFault;
        if (!connectionAtFault) {
            tried.add(by.placed().name());
        }
    }

    /** An answer broke off at the place. */
    void brokeOff(String place) {
        tried.add(place);
        freshOnly = true;
    }

    /** The connection that was used went silent, so only new ones will do. */
    void avoidReuse() {
        freshOnly = true;
    }

    /** The request may have run in a way that no try tells. */
    void mayRun() {
        runs++;
    }

    /** Takes the right to another try of the whole request; false if there is none. */
    boolean takeAnother(boolean notRun, RequestBody body) {
        return tries < tryLimit
                && runs < runLimit()
                && (notRun || head.requestClass().repeatable())
                && body.replayable()
                && retries.tryAcquire(head.service());
    }

    /** Takes the right to ask for the rest of an answer; false if there is none. */
    boolean takeResumption() {
        return tries < tryLimit && retries.tryAcquire(head.service());
    }

    /**
     * What the caller is told: never that the request was not run if it may have been, and when to come back if it
     * found no place.
     */
    Failure told(Failure failure) {
        if (mayHaveRun() && failure.notRun()) {
            return Failure.of(
                    ErrorCode.UPSTREAM_LOST, failure.subject(), failure.code().name());
        }
        boolean foundNoPlace = failure.code().httpStatus() == UNAVAILABLE;
        return foundNoPlace && failure.retryAfter().isEmpty() ? failure.withRetryAfter(COME_BACK) : failure;
    }

    /** True when a try's outcome is unknown. */
    boolean mayHaveRun() {
        return runs > 0;
    }

    /** Places that failed. */
    Set<String> tried() {
        return tried;
    }

    /** True when no connection may be used that carried an answer before. */
    boolean freshOnly() {
        return freshOnly;
    }

    /** How the last try ended, if one did. */
    Optional<Failure> lastFailure() {
        return lastFailure;
    }

    /** Tries after the first. */
    int repeats() {
        return Math.max(0, tries - 1);
    }

    private int runLimit() {
        return head.route().map(Route::attempts).orElse(tryLimit);
    }
}
